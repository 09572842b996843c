//! Requests to plain services.

use hyper::Response;
use logs::DecisionKind;
use platform::strip_hop_headers;
use policy::{
    OpenWork,
    PlacementNeed,
    place_call, //
};
use tokio::time::Instant;
use units::InstanceId;
use web::{
    ReplyBody,
    bytes_body, //
};

use crate::call::{
    CallContext,
    SendCount, //
};
use crate::metrics::GatewayMetrics;
use crate::open_work::OpenGuard;
use crate::outcome::{
    SendTrouble,
    WholeAnswer, //
};
use crate::reply::OwnAnswer;
use crate::send::{
    open_send,
    read_whole, //
};

/// Sends of one request that backend servers may refuse before it is given up.
const REFUSAL_LIMIT: u32 = 3;

/// Backend servers that may be out of reach before a request is given up.
pub(crate) const UNREACHED_LIMIT: u32 = 3;

/// Serves a request whose answer is taken whole.
pub(crate) async fn serve_plain(call: &CallContext) -> Result<Response<ReplyBody>, OwnAnswer> {
    let mut sent = SendCount::default();
    loop {
        let Some((instance, address)) = place(call, &sent) else {
            return Err(unplaced(&sent));
        };
        let work = OpenWork {
            requests: 1,
            ..OpenWork::default()
        };
        let open = OpenGuard::new(&call.shared, &instance, work);
        let began = Instant::now();
        let facts = call.send_facts(&instance);
        let result = match open_send(call, address, &facts).await {
            Ok(answer) => read_whole(call, answer).await,
            Err(trouble) => Err(trouble),
        };
        drop(open);
        sent.avoid.insert(instance.clone());
        match result {
            Ok(answer) => {
                sent.runs += 1;
                if is_error(&answer) && may_repeat(call, &sent) {
                    log_repeat(call, &instance, "error_status");
                    continue;
                }
                let taken = began.elapsed();
                call.shared.lock().fleet.note_time(&instance, taken);
                GatewayMetrics::observe(&call.shared.metrics.plain, taken);
                log_answer(call, &instance, &answer);
                return finish(answer);
            }
            Err(SendTrouble::Unreached) => {
                sent.unreached += 1;
                if sent.unreached >= UNREACHED_LIMIT {
                    return Err(not_run(&sent, "unreached"));
                }
                log_repeat(call, &instance, "unreached");
            }
            Err(SendTrouble::NotRun(reason)) => {
                sent.refused += 1;
                let again = sent.refused < REFUSAL_LIMIT && sent.runs == 0;
                if !(again && call.shared.spend_repeat(&call.service)) {
                    return Err(not_run(&sent, reason));
                }
                log_repeat(call, &instance, reason);
            }
            Err(SendTrouble::Unknown(reason)) => {
                sent.runs += 1;
                if !may_repeat(call, &sent) {
                    return Err(OwnAnswer::Unknown(reason));
                }
                log_repeat(call, &instance, reason);
            }
            Err(SendTrouble::OutOfTime) => return Err(OwnAnswer::OutOfTime),
        }
    }
}

fn place(call: &CallContext, sent: &SendCount) -> Option<(InstanceId, std::net::SocketAddr)> {
    let state = call.shared.lock();
    let need = PlacementNeed {
        service: &call.service,
        centre: &call.shared.settings.data_centre,
        avoid: &sent.avoid,
    };
    let placement = place_call(&state.fleet, Instant::now(), need)?;
    let address = state.fleet.get(&placement.instance)?.record.address;
    drop(state);
    let record = call
        .record(DecisionKind::Route, "least expected time")
        .chosen(&placement.instance)
        .input("config", call.version.0)
        .input("left_ms", call.time_left().as_millis() as u64)
        .input("wait_ms", placement.wait.as_millis() as u64);
    let shown = placement.considered.iter();
    let shown = shown.map(|(instance, score)| format!("{instance}:{score}"));
    call.shared.log.decide(record.considered(shown.collect()));
    Some((placement.instance, address))
}

/// What is true when no backend server is left to try.
fn unplaced(sent: &SendCount) -> OwnAnswer {
    not_run(sent, "no_backend")
}

fn not_run(sent: &SendCount, reason: &'static str) -> OwnAnswer {
    if sent.runs > 0 {
        return OwnAnswer::Unknown(reason);
    }
    OwnAnswer::Unavailable(reason)
}

fn is_error(answer: &WholeAnswer) -> bool {
    let status = answer.response.status();
    status.is_server_error() || (status.is_success() && !answer.facts.is_signed)
}

/// Whether a request that has run may be sent once more, taking it from the budget.
fn may_repeat(call: &CallContext, sent: &SendCount) -> bool {
    call.rule.kind.is_repeatable()
        && sent.runs < call.rule.max_attempts
        && call.shared.spend_repeat(&call.service)
}

pub(crate) fn log_repeat(call: &CallContext, instance: &InstanceId, reason: &str) {
    let record = call.record(DecisionKind::Retry, reason).chosen(instance);
    let left = call.time_left().as_millis() as u64;
    call.shared.log.decide(record.input("left_ms", left));
}

fn log_answer(call: &CallContext, instance: &InstanceId, answer: &WholeAnswer) {
    let record = call
        .record(DecisionKind::Finish, "answered")
        .chosen(instance)
        .input("status", answer.response.status().as_u16())
        .input("taken_ms", call.started.elapsed().as_millis() as u64);
    let failed = is_error(answer);
    call.shared
        .log
        .decide(if failed { record.failure() } else { record });
}

fn finish(answer: WholeAnswer) -> Result<Response<ReplyBody>, OwnAnswer> {
    let status = answer.response.status();
    if status.is_success() && !answer.facts.is_signed {
        return Err(OwnAnswer::Unknown("answer_unsigned"));
    }
    let (mut head, body) = answer.response.into_parts();
    strip_hop_headers(&mut head.headers);
    Ok(Response::from_parts(head, bytes_body(body)))
}
