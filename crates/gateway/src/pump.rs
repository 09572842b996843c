//! Passes the events of a stream on, over the runs that produce it.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::{
    AttemptOutcome, //
    EventCursor,
};
use tokio::sync::mpsc::Sender;
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};
use units::InstanceId;
use web::{
    AbortedResponse,
    ResponseBody,
    ResponseChunk,
    abortable_body, //
};

use crate::call::{
    CallContext,
    SendCount, //
};
use crate::generation::{
    OpenRun,
    open_run, //
};
use crate::reply::OwnAnswer;
use crate::send::release_connection;

/// Parts that wait for a slow caller.
const PART_DEPTH: usize = 8;

/// Time without an event after which it is looked at whether the engine lives, and from then on the
/// pause between looks.
const SILENCE_PAUSE: Duration = Duration::from_millis(400);

/// How evenly the events of a stream came, over all its runs.
#[derive(Debug, Default)]
struct StreamPace {
    first: Option<Duration>,
    last: Option<Duration>,
    widest_gap: Duration,
}

impl StreamPace {
    /// Notes events that came some time after the request.
    fn note(&mut self, elapsed: Duration) {
        self.first.get_or_insert(elapsed);
        if let Some(last) = self.last.replace(elapsed) {
            self.widest_gap = self.widest_gap.max(elapsed.saturating_sub(last));
        }
    }
}

/// How one run of a stream ended.
enum RunEnd {
    Whole,
    Broken(&'static str),
    CallerGone,
    OutOfTime,
}

/// Passes the head of a stream on and its events as they come.
pub(crate) fn start_pump(
    call: Arc<CallContext>,
    mut run: OpenRun,
    sent: SendCount,
) -> Response<ResponseBody> {
    let is_success = run.answer.response.status().is_success();
    if !is_success || !run.answer.metadata.is_signed {
        return pass_failure(&call, run.answer.response);
    }
    let (mut head, body) = run.answer.response.into_parts();
    run.answer.response = Response::new(body);
    strip_hop_by_hop_headers(&mut head.headers);
    let (parts, reply_body) = abortable_body(PART_DEPTH);
    tokio::spawn(pump_stream(call, run, sent, parts));
    Response::from_parts(head, reply_body)
}

/// Passes an error answer of an engine on.
fn pass_failure(call: &CallContext, answer: Response<Incoming>) -> Response<ResponseBody> {
    let (mut head, body) = answer.into_parts();
    let record = call.record(DecisionKind::Finish, "engine answered with an error");
    let record = record.input("status", head.status.as_u16()).failure();
    call.shared.log.write(record);
    if head.status.is_success() {
        return OwnAnswer::Unknown("answer_unsigned").response();
    }
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body.map_err(|_| AbortedResponse).boxed_unsync())
}

async fn pump_stream(
    call: Arc<CallContext>,
    first: OpenRun,
    mut sent: SendCount,
    parts: Sender<ResponseChunk>,
) {
    let mut cursor = EventCursor::after(call.metadata.last_event_id);
    let mut pace = StreamPace::default();
    let mut run = first;
    loop {
        let instance = run.engine.selection.instance.clone();
        let reason = match pass_events(&call, run, &mut cursor, &mut pace, &parts).await {
            RunEnd::Whole => return log_end(&call, &pace, "stream is whole", false),
            RunEnd::CallerGone => return log_end(&call, &pace, "caller has left", false),
            RunEnd::OutOfTime => {
                log_end(&call, &pace, "out of time", true);
                break;
            }
            RunEnd::Broken(reason) => reason,
        };
        note_broken(&call, &instance);
        if !call.may_run_again(&sent) {
            log_end(&call, &pace, reason, true);
            break;
        }
        call.log_retry(&instance, reason);
        cursor.start_attempt();
        match open_run(&call, &mut sent, cursor.last_id()).await {
            Ok(next) if next.answer.response.status().is_success() => run = next,
            _ => {
                log_end(&call, &pace, "cannot be resumed", true);
                break;
            }
        }
    }
    // The caller may have left meanwhile.
    let _ = parts.send(Err(AbortedResponse)).await;
}

fn note_broken(call: &CallContext, instance: &InstanceId) {
    let mut state = call.shared.lock();
    state
        .fleet
        .record_outcome(Instant::now(), instance, AttemptOutcome::ConnectionBroken);
}

fn log_end(call: &CallContext, pace: &StreamPace, reason: &str, failed: bool) {
    let taken = call.started.elapsed().as_millis() as u64;
    let record = call
        .record(DecisionKind::Finish, reason)
        .input("taken_ms", taken)
        .input(
            "first_event_ms",
            pace.first.map(|first| first.as_millis() as u64),
        )
        .input("widest_gap_ms", pace.widest_gap.as_millis() as u64);
    let name = if failed { "stream_broken" } else { "stream" };
    call.shared
        .metrics
        .outcomes
        .with_label_values(&[name])
        .inc();
    call.shared
        .log
        .write(if failed { record.failure() } else { record });
}

/// Learns from a whole stream how fast its engine makes tokens.
fn note_steps(call: &CallContext, instance: &InstanceId, began: Option<Instant>) {
    let Some(began) = began else { return };
    let mut state = call.shared.lock();
    let view = state.fleet.get(instance);
    let streams = view.map_or(0, |view| view.total_load().requests);
    let speeds = state.speeds.entry(call.service.clone()).or_default();
    let tokens = f64::from(call.output_tokens());
    speeds.decode.add_sample(streams, tokens, began.elapsed());
}

/// Waits until an engine shows no sign of life on any connection.
async fn until_silent(call: &CallContext, instance: &InstanceId) {
    loop {
        sleep(SILENCE_PAUSE).await;
        if call.shared.is_unresponsive(instance) {
            return;
        }
    }
}

async fn pass_events(
    call: &CallContext,
    run: OpenRun,
    cursor: &mut EventCursor,
    pace: &mut StreamPace,
    parts: &Sender<ResponseChunk>,
) -> RunEnd {
    let OpenRun {
        answer,
        mut open,
        engine,
    } = run;
    let instance = engine.selection.instance;
    let (_, mut body) = answer.response.into_parts();
    let mut began = None;
    let can_resume = call.rule.kind.is_retryable();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = until_silent(call, &instance), if can_resume => return RunEnd::Broken("silent"),
            () = parts.closed() => return RunEnd::CallerGone,
            () = sleep_until(call.deadline) => return RunEnd::OutOfTime,
        };
        let data = match frame {
            None if cursor.is_mid_event() => return RunEnd::Broken("ended_mid_event"),
            None => {
                note_steps(call, &instance, began);
                release_connection(&call.shared, answer.connection, &answer.metadata);
                return RunEnd::Whole;
            }
            Some(Err(_)) => return RunEnd::Broken("stream_cut"),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        call.shared.record_liveness(&instance);
        if began.is_none() {
            began = Some(Instant::now());
            open.prompt_read();
        }
        let Ok(events) = cursor.push(&data) else {
            return RunEnd::Broken("events_out_of_order");
        };
        if events.is_empty() {
            continue;
        }
        pace.note(call.started.elapsed());
        let passed = tokio::select! {
            passed = parts.send(Ok(events)) => passed.is_ok(),
            () = sleep_until(call.deadline) => return RunEnd::OutOfTime,
        };
        if !passed {
            return RunEnd::CallerGone;
        }
    }
}
