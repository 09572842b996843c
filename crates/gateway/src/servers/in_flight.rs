//! Counts the load of in-flight requests on their backend servers.

use std::sync::Arc;

use policy::{
    BackendLoad,
    PrefillBacklog, //
};
use tokio::time::Instant;
use units::InstanceId;

use crate::request::RequestContext;
use crate::shared::GatewayShared;
use crate::suspects::crash_suspects::{
    CrashWitness,
    record_silence_later, //
};
use crate::tokens::token_ticket::TokenTicket;

/// Load of an in-flight request, counted on its backend server until the guard is dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<GatewayShared>,
    witness: CrashWitness,
    instance: InstanceId,
    load: BackendLoad,
    token: Option<TokenTicket>,
}

impl InFlightGuard {
    /// Adds the load of a request that is sent to a backend server, with the token taken for it.
    pub(crate) fn new(
        context: &RequestContext,
        instance: &InstanceId,
        load: BackendLoad,
        mut token: Option<TokenTicket>,
    ) -> Self {
        if let Some(token) = &mut token {
            token.set_sent(true);
        }
        let shared = &context.shared;
        if let Some(view) = shared.lock().fleet.get_mut(instance) {
            view.record_send(Instant::now(), load);
        }
        Self {
            shared: shared.clone(),
            witness: context.witness(),
            instance: instance.clone(),
            load,
            token,
        }
    }

    /// Returns the token of a request that did not reach its backend server.
    pub(crate) fn return_token(&mut self) {
        if let Some(mut token) = self.token.take() {
            token.set_sent(false);
        }
    }

    /// Removes the prompt from the prefill backlog.
    pub(crate) fn finish_prefill(&mut self) {
        let prefill = BackendLoad {
            prefill_backlog: self.load.prefill_backlog,
            ..BackendLoad::default()
        };
        self.load.prefill_backlog = PrefillBacklog::NONE;
        self.subtract_load(prefill);
    }

    fn subtract_load(&self, load: BackendLoad) {
        if let Some(view) = self.shared.lock().fleet.get_mut(&self.instance) {
            view.own_load.subtract(load);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        // A server that has fallen silent may have crashed, also if the caller or the deadline ended
        // the wait before the connection broke.
        if self.shared.is_unresponsive(&self.instance) {
            record_silence_later(&self.shared, self.witness.clone(), self.instance.clone());
        }
        self.subtract_load(self.load);
    }
}
