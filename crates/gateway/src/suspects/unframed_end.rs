//! Responses whose end is the end of their connection: complete, or cut by the end of their server.

use std::sync::Arc;
use std::time::Duration;

use logs::DecisionKind;
use policy::{
    AnswerEnd,
    BackendView,
    EndVerdict,
    ProcessState, //
};
use tokio::time::sleep_until;
use units::IncarnationId;

use crate::request::RequestContext;
use crate::servers::sent_requests::{
    ResponseEnd,
    ServerProcess, //
};
use crate::shared::GatewayState;
use crate::suspects::crash_suspects::{
    record_completed,
    record_crash, //
};
use crate::suspects::server_process::{
    ProbeTarget,
    process_state, //
};

/// Time from the end of a response to the first probe. A process that ends with its response may still
/// accept connections for some milliseconds.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time after the end of a response from which an answer of its server shows that the server did not
/// end with it. A server that ends may still answer for a moment.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Time after that in which a busy server sends something, so that a probe is not needed.
const LIVENESS_TIME: Duration = Duration::from_millis(200);

/// Timeout of a probe for which the end of a response waits.
const RESPONSE_PROBE_TIMEOUT: Duration = Duration::from_millis(20);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) const UNFRAMED_CAUSE: &str = "backend server ended with a response of unknown length";

/// Finds out within some milliseconds whether a response of unknown length is whole.
pub(crate) async fn judge_response_end(
    context: &RequestContext,
    response_end: &ResponseEnd,
) -> EndVerdict {
    sleep_until(response_end.ended_at + FIRST_PROBE_DELAY).await;
    let end = observe_end(context, response_end, RESPONSE_PROBE_TIMEOUT).await;
    let verdict = end.verdict();
    log_verdict(context, response_end, end);
    verdict
}

/// Records the end of a response after [`judge_response_end`]. A complete success clears the request;
/// whether the server of a response of unknown length outlived it is found out in the background.
pub(crate) fn record_response_end(
    context: &Arc<RequestContext>,
    unframed_end: Option<ResponseEnd>,
    is_success: bool,
) {
    match unframed_end {
        Some(end) => drop(tokio::spawn(settle_end(context.clone(), end, is_success))),
        None if is_success => record_completed(context),
        None => {}
    }
}

/// Records what a response shows about its request once its process would no longer answer if it had ended
/// with the response.
async fn settle_end(context: Arc<RequestContext>, response_end: ResponseEnd, is_success: bool) {
    let shared = &context.shared;
    let instance = &response_end.process.instance;
    let settled_at = response_end.ended_at + SURVIVAL_TIME;
    sleep_until(settled_at + LIVENESS_TIME).await;
    let is_replaced = is_replaced(&shared.lock(), &response_end.process);
    let verdict = if !is_replaced && shared.has_shown_liveness(instance, settled_at) {
        EndVerdict::Whole
    } else {
        let end = observe_end(&context, &response_end, PROBE_TIMEOUT).await;
        end.verdict()
    };
    match verdict {
        EndVerdict::BrokenOff => {
            record_crash(shared, &context.witness(), instance, UNFRAMED_CAUSE);
        }
        EndVerdict::Whole if is_success => record_completed(&context),
        EndVerdict::Whole | EndVerdict::PresumedWhole => {}
    }
}

/// Returns what is known now of the end of a response.
async fn observe_end(
    context: &RequestContext,
    response_end: &ResponseEnd,
    timeout: Duration,
) -> AnswerEnd {
    let process = &response_end.process;
    let writer = ask_writer(context, process, timeout).await;
    let is_reset = response_end.watch.was_reset();
    let state = context.shared.lock();
    AnswerEnd {
        is_reset,
        writer,
        is_leaving: is_leaving(&state, process),
        siblings: state.sent_requests.siblings(response_end),
    }
}

/// Returns whether a process has announced that it leaves, or has lost its entry.
fn is_leaving(state: &GatewayState, process: &ServerProcess) -> bool {
    let view = state.fleet.get(&process.instance);
    let view = view.filter(|view| view.record.address == process.address);
    !is_replaced(state, process) && view.is_none_or(BackendView::has_announced_end)
}

/// Asks the process that wrote a response for its state, where the request was sent. Its entry may be that of
/// another process by now.
async fn ask_writer(
    context: &RequestContext,
    process: &ServerProcess,
    timeout: Duration,
) -> ProcessState {
    let shared = &context.shared;
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["probe"]).inc();
    let target = ProbeTarget::of_response(context, process.address);
    let answer = target.ask(shared, &process.instance, timeout).await;
    let state = answer.map_or(ProcessState::Silent, |answer| {
        process_state(answer, process.incarnation) //
    });
    if state != ProcessState::Running && is_replaced(&shared.lock(), process) {
        return ProcessState::Replaced;
    }
    state
}

/// Returns whether the entry names a process that started at another time.
fn is_replaced(state: &GatewayState, process: &ServerProcess) -> bool {
    let view = state.fleet.get(&process.instance);
    let stated = view.and_then(|view| view.record.started_unix_ms.map(IncarnationId));
    stated.is_some() && process.incarnation.is_some() && stated != process.incarnation
}

fn log_verdict(context: &RequestContext, response_end: &ResponseEnd, end: AnswerEnd) {
    let verdict = end.verdict();
    let metrics = &context.shared.metrics;
    let counter = metrics.unframed_ends.with_label_values(&[verdict.as_str()]);
    counter.inc();
    let incarnation = response_end.process.incarnation;
    let incarnation = incarnation.map(|incarnation| incarnation.0);
    let reason = "response without a length ended with its connection";
    let record = context
        .record(DecisionKind::Send, reason)
        .chosen(&response_end.process.instance)
        .input("verdict", verdict.as_str())
        .input("reset", end.is_reset)
        .input("incarnation", incarnation)
        .input("writer", end.writer.as_str())
        .input("leaving", end.is_leaving)
        .input("siblings", end.siblings.as_str())
        .input(
            "held_ms",
            response_end.ended_at.elapsed().as_millis() as u64,
        );
    let is_broken = verdict == EndVerdict::BrokenOff;
    let log = &context.shared.log;
    log.write(if is_broken { record.failure() } else { record });
}
