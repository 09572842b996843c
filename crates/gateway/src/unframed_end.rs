//! Responses whose end is the end of their connection: complete, or cut by the end of their server.

use std::sync::Arc;
use std::time::Duration;

use platform::{
    ProbeAnswer,
    probe_server, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::InstanceId;

use crate::crash_probe::health_path;
use crate::crash_suspects::{
    record_completed,
    record_crash, //
};
use crate::request::RequestContext;
use crate::shared::GatewayShared;

/// Time after the end of a response from which an answer of its server shows that the server did not
/// end with it. A server that ends may still answer for a moment.
const SURVIVAL_TIME: Duration = Duration::from_millis(300);

/// Time after that in which a busy server sends something, so that a probe is not needed.
const LIVENESS_TIME: Duration = Duration::from_millis(200);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

const UNFRAMED_CAUSE: &str = "backend server ended with a response of unknown length";

/// What is known about the process of a backend server after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerFate {
    Alive,
    /// It no longer listens, or another process has taken its place.
    Ended,
    /// It did not answer in time, as a busy server may.
    Unknown,
}

/// Records the end of a response. A complete success clears the request; whether a response of unknown
/// length was complete, or its server ended with it, is found out in the background.
pub(crate) fn record_response_end(
    context: &Arc<RequestContext>,
    instance: &InstanceId,
    is_framed: bool,
    is_success: bool,
) {
    if !is_framed {
        let (context, instance) = (context.clone(), instance.clone());
        tokio::spawn(check_unframed_end(context, instance, is_success));
    } else if is_success {
        record_completed(context);
    }
}

async fn check_unframed_end(context: Arc<RequestContext>, instance: InstanceId, is_success: bool) {
    let shared = &context.shared;
    let incarnation = incarnation_of(shared, &instance);
    let mut fate = probe_fate(shared, &instance, incarnation).await;
    if fate != ServerFate::Ended {
        let settled_at = Instant::now() + SURVIVAL_TIME;
        sleep_until(settled_at + LIVENESS_TIME).await;
        fate = if shared.has_shown_liveness(&instance, settled_at) {
            ServerFate::Alive
        } else {
            probe_fate(shared, &instance, incarnation).await
        };
    }
    match fate {
        ServerFate::Ended => record_crash(shared, &context.witness(), &instance, UNFRAMED_CAUSE),
        ServerFate::Alive if is_success => record_completed(&context),
        ServerFate::Alive | ServerFate::Unknown => {}
    }
}

/// Returns the start time of a backend server's process in milliseconds since the Unix epoch.
fn incarnation_of(shared: &GatewayShared, instance: &InstanceId) -> Option<u64> {
    let state = shared.lock();
    state.fleet.get(instance)?.record.started_unix_ms
}

/// Finds out whether the process of a backend server still runs.
async fn probe_fate(
    shared: &GatewayShared,
    instance: &InstanceId,
    incarnation: Option<u64>,
) -> ServerFate {
    let target = {
        let state = shared.lock();
        let view = state.fleet.get(instance);
        let view = view.filter(|view| view.record.started_unix_ms == incarnation);
        view.map(|view| (view.record.address, health_path(&state, &view.record)))
    };
    let Some((address, path)) = target else {
        return ServerFate::Ended;
    };
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["probe"]).inc();
    match probe_server(address, instance, path.as_deref(), PROBE_TIMEOUT).await {
        Ok(ProbeAnswer::NotListening | ProbeAnswer::OtherInstance) => ServerFate::Ended,
        Ok(ProbeAnswer::Alive {
            started_unix_ms: Some(started),
        }) if incarnation.is_some_and(|known| known != started) => ServerFate::Ended,
        Ok(ProbeAnswer::Alive { .. }) => ServerFate::Alive,
        Err(_) => ServerFate::Unknown,
    }
}
