//! The process of a backend server, which a probe tells from one that has taken its place.

use std::net::SocketAddr;
use std::time::Duration;

use platform::{
    PlatformError,
    ProbeAnswer,
    probe_connection,
    probe_server, //
};
use policy::{
    BackendView,
    ProcessState, //
};
use tokio::time::Instant;
use units::{
    IncarnationId,
    InstanceId, //
};

use crate::request::RequestContext;
use crate::servers::server_notices::record_notices;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::server_limits::LimitQuestion;
use crate::tokens::token_ticket::charge_request;

/// Where to probe a backend server.
pub(crate) struct ProbeTarget {
    address: SocketAddr,
    /// Path of the health check of a plain service; `None` for engines.
    health_path: Option<String>,
}

impl ProbeTarget {
    pub(crate) fn new(state: &GatewayState, view: &BackendView) -> Self {
        let record = &view.record;
        let services = state.table.as_ref().map(|table| &table.services);
        let service = services.and_then(|services| services.get(&record.service));
        let service = service.filter(|_| record.stage.is_none());
        Self {
            address: record.address,
            health_path: service.map(|service| service.health_path.clone()),
        }
    }

    /// Returns where to probe the server that answered a request, whatever its entry says by now.
    pub(crate) fn of_response(context: &RequestContext, address: SocketAddr) -> Self {
        let state = context.shared.lock();
        let services = state.table.as_ref().map(|table| &table.services);
        let service = services.and_then(|services| services.get(&context.service));
        let service = service.filter(|_| !context.rule.kind.is_stream());
        Self {
            address,
            health_path: service.map(|service| service.health_path.clone()),
        }
    }

    /// Asks a backend server for its state. One that rests gets no request, only a connection.
    pub(crate) async fn ask(
        &self,
        shared: &GatewayShared,
        instance: &InstanceId,
        timeout: Duration,
    ) -> Result<ProbeAnswer, PlatformError> {
        if shared.lock().fleet.is_resting(Instant::now(), instance) {
            return probe_connection(self.address, timeout).await;
        }
        charge_request(shared, instance);
        let question = LimitQuestion::new(shared, instance);
        let observe = |notices| record_notices(shared, &question, notices);
        let health_path = self.health_path.as_deref();
        probe_server(self.address, instance, health_path, timeout, observe).await
    }
}

/// Returns where to probe a process, or `None` if its entry in the platform's registry shows that it
/// has ended.
pub(crate) fn find_process(
    state: &GatewayState,
    instance: &InstanceId,
    incarnation: Option<IncarnationId>,
) -> Option<ProbeTarget> {
    let view = state.fleet.get(instance)?;
    let is_same = view.record.started_unix_ms == incarnation.map(|incarnation| incarnation.0);
    is_same.then(|| ProbeTarget::new(state, view))
}

/// Returns what the answer to a probe shows about a process.
pub(crate) fn process_state(
    answer: ProbeAnswer,
    incarnation: Option<IncarnationId>,
) -> ProcessState {
    match (answer, incarnation) {
        (ProbeAnswer::NotListening, _) => ProcessState::Refusing,
        (ProbeAnswer::OtherInstance, _) => ProcessState::Replaced,
        (
            ProbeAnswer::Alive {
                started_unix_ms: Some(started),
            },
            Some(incarnation),
        ) if started == incarnation.0 => ProcessState::Running,
        (
            ProbeAnswer::Alive {
                started_unix_ms: Some(_),
            },
            Some(_),
        ) => ProcessState::Replaced,
        (ProbeAnswer::Alive { .. }, _) => ProcessState::Listening,
    }
}
