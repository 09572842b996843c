//! Requests to plain services.

use std::net::SocketAddr;

use hyper::Response;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::{
    BackendLoad,
    BackendSelection,
    select_plain_server, //
};
use tokio::time::Instant;
use units::InstanceId;
use web::{
    ResponseBody,
    bytes_body, //
};

use crate::call::{
    CallContext,
    REFUSAL_LIMIT,
    SendCount,
    UNREACHED_LIMIT, //
};
use crate::latency::ServerStage;
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

/// Serves a request whose answer is taken whole.
pub(crate) async fn serve_plain(call: &CallContext) -> Result<Response<ResponseBody>, OwnAnswer> {
    let mut sent = SendCount::default();
    loop {
        let Some((instance, address)) = select_and_log(call, &sent) else {
            return Err(sent.give_up("no_backend"));
        };
        let work = BackendLoad {
            requests: 1,
            ..BackendLoad::default()
        };
        let open = OpenGuard::new(&call.shared, &instance, work);
        let began = Instant::now();
        let metadata = call.attempt_metadata(&instance, call.urgency().position());
        let result = match open_send(call, address, &metadata).await {
            Ok(answer) => read_whole(call, answer).await,
            Err(trouble) => Err(trouble),
        };
        drop(open);
        sent.avoid.insert(instance.clone());
        match result {
            Ok(answer) => {
                sent.runs += 1;
                if is_error(&answer) && may_repeat(call, &sent) {
                    call.log_retry(&instance, "error_status");
                    continue;
                }
                let taken = began.elapsed();
                call.shared
                    .lock()
                    .fleet
                    .record_response_time(&instance, taken);
                let latencies = &call.shared.metrics.latencies;
                latencies.observe_stage(ServerStage::Plain, &instance, taken);
                latencies.observe_answer(&call.rule, call.started.elapsed());
                log_answer(call, &instance, &answer);
                return finish(answer);
            }
            Err(SendTrouble::Unreached) => {
                sent.unreached += 1;
                if sent.unreached >= UNREACHED_LIMIT {
                    return Err(sent.give_up("unreached"));
                }
                call.log_retry(&instance, "unreached");
            }
            Err(SendTrouble::NotRun(reason)) => {
                sent.refused += 1;
                let again = sent.refused < REFUSAL_LIMIT && sent.runs == 0;
                if !(again && call.shared.try_spend_retry(&call.service)) {
                    return Err(sent.give_up(reason));
                }
                call.log_retry(&instance, reason);
            }
            Err(SendTrouble::Unknown(reason)) => {
                sent.runs += 1;
                if !may_repeat(call, &sent) {
                    return Err(OwnAnswer::Unknown(reason));
                }
                call.log_retry(&instance, reason);
            }
            Err(SendTrouble::OutOfTime) => return Err(OwnAnswer::OutOfTime),
        }
    }
}

/// The backend server to send to next, of those that were not tried.
fn choose(call: &CallContext, sent: &SendCount) -> Option<(BackendSelection, SocketAddr)> {
    let state = call.shared.lock();
    let request = call.selection_request(sent);
    let selection = select_plain_server(&state.fleet, Instant::now(), request)?;
    let address = state.fleet.get(&selection.instance)?.record.address;
    Some((selection, address))
}

fn select_and_log(call: &CallContext, sent: &SendCount) -> Option<(InstanceId, SocketAddr)> {
    let (selection, address) = choose(call, sent)?;
    call.log_choice(&selection, "least expected time");
    Some((selection.instance, address))
}

fn is_error(answer: &WholeAnswer) -> bool {
    let status = answer.response.status();
    status.is_server_error() || (status.is_success() && !answer.metadata.is_signed)
}

/// Whether a request that has run may be sent once more, taking it from the budget. Where nobody is
/// left to take it, its last answer is the caller's.
fn may_repeat(call: &CallContext, sent: &SendCount) -> bool {
    call.may_run_again(sent)
        && choose(call, sent).is_some()
        && call.shared.try_spend_retry(&call.service)
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
        .write(if failed { record.failure() } else { record });
}

fn finish(answer: WholeAnswer) -> Result<Response<ResponseBody>, OwnAnswer> {
    let status = answer.response.status();
    if status.is_success() && !answer.metadata.is_signed {
        return Err(OwnAnswer::Unknown("answer_unsigned"));
    }
    let (mut head, body) = answer.response.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    Ok(Response::from_parts(head, bytes_body(body)))
}
