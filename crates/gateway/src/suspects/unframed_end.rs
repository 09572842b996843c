//! Responses whose end is the end of their connection: complete, or cut by the end of their server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};
use units::{
    IncarnationId,
    InstanceId, //
};

use crate::request::RequestContext;
use crate::shared::GatewayShared;
use crate::suspects::crash_suspects::{
    record_completed,
    record_crash, //
};
use crate::suspects::server_process::{
    ProbeTarget,
    ProcessState,
    find_process,
    process_state, //
};
use crate::tokens::token_ticket::charge_request;

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

/// The server that has sent a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseServer {
    pub(crate) instance: InstanceId,
    /// Where the request was sent.
    pub(crate) address: SocketAddr,
}

/// Waits a moment for the question whether the server of a response of unknown length has ended with it.
/// Returns false if that is not known by then.
pub(crate) async fn has_ended_with_response(
    context: &RequestContext,
    server: &ResponseServer,
) -> bool {
    let incarnation = incarnation_of(&context.shared, &server.instance);
    sleep(FIRST_PROBE_DELAY).await;
    let probing = probe_process(context, server, incarnation, RESPONSE_PROBE_TIMEOUT);
    probing.await == Some(ProcessState::Ended)
}

/// Records the end of a response. A complete success clears the request; whether a response of unknown
/// length was complete, or its server ended with it, is found out in the background.
pub(crate) fn record_response_end(
    context: &Arc<RequestContext>,
    server: ResponseServer,
    is_framed: bool,
    is_success: bool,
) {
    if !is_framed {
        tokio::spawn(check_unframed_end(context.clone(), server, is_success));
    } else if is_success {
        record_completed(context);
    }
}

/// Records the end of a stream after [`has_ended_with_response`].
pub(crate) fn record_stream_end(
    context: &Arc<RequestContext>,
    server: ResponseServer,
    is_framed: bool,
) {
    if is_framed {
        return record_completed(context);
    }
    let context = context.clone();
    let ended_at = Instant::now();
    tokio::spawn(async move {
        let incarnation = incarnation_of(&context.shared, &server.instance);
        let state = settle_state(&context, &server, incarnation, ended_at).await;
        record_state(&context, &server.instance, state, true);
    });
}

async fn check_unframed_end(
    context: Arc<RequestContext>,
    server: ResponseServer,
    is_success: bool,
) {
    let incarnation = incarnation_of(&context.shared, &server.instance);
    let ended_at = Instant::now();
    sleep(FIRST_PROBE_DELAY).await;
    let mut state = probe_process(&context, &server, incarnation, PROBE_TIMEOUT).await;
    if state != Some(ProcessState::Ended) {
        state = settle_state(&context, &server, incarnation, ended_at).await;
    }
    record_state(&context, &server.instance, state, is_success);
}

/// Returns the state of a process once it would no longer answer if it had ended with its response.
async fn settle_state(
    context: &RequestContext,
    server: &ResponseServer,
    incarnation: Option<IncarnationId>,
    ended_at: Instant,
) -> Option<ProcessState> {
    let settled_at = ended_at + SURVIVAL_TIME;
    sleep_until(settled_at + LIVENESS_TIME).await;
    if context
        .shared
        .has_shown_liveness(&server.instance, settled_at)
    {
        return Some(ProcessState::Running);
    }
    probe_process(context, server, incarnation, PROBE_TIMEOUT).await
}

fn record_state(
    context: &RequestContext,
    instance: &InstanceId,
    state: Option<ProcessState>,
    is_success: bool,
) {
    match state {
        Some(ProcessState::Ended) => {
            let shared = &context.shared;
            record_crash(shared, &context.witness(), instance, UNFRAMED_CAUSE);
        }
        Some(ProcessState::Running | ProcessState::Unstated) if is_success => {
            record_completed(context);
        }
        _ => {}
    }
}

fn incarnation_of(shared: &GatewayShared, instance: &InstanceId) -> Option<IncarnationId> {
    let state = shared.lock();
    let started_unix_ms = state.fleet.get(instance)?.record.started_unix_ms;
    started_unix_ms.map(IncarnationId)
}

/// Finds out whether a process still runs. Returns `None` if it does not answer in time, as a busy
/// server may, or if it rests.
async fn probe_process(
    context: &RequestContext,
    server: &ResponseServer,
    incarnation: Option<IncarnationId>,
    timeout: Duration,
) -> Option<ProcessState> {
    let (shared, instance) = (&context.shared, &server.instance);
    let has_entry = shared.lock().fleet.get(instance).is_some();
    let target = if has_entry {
        find_process(&shared.lock(), instance, incarnation)
    } else {
        Some(ProbeTarget::without_entry(context, server.address))
    };
    let Some(target) = target else {
        return Some(ProcessState::Ended);
    };
    if shared.lock().fleet.is_resting(Instant::now(), instance) {
        return None;
    }
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["probe"]).inc();
    charge_request(shared, instance);
    let answer = target.probe(shared, instance, timeout).await.ok()?;
    Some(process_state(answer, incarnation))
}
