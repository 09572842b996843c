//! Token that a request has taken for a limited backend server.

use std::sync::Arc;

use tokio::time::Instant;
use units::InstanceId;

use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::token_state::ServerGroup;

/// Token for one request, given back on drop unless the request was sent.
pub(crate) struct TokenTicket {
    shared: Arc<GatewayShared>,
    instance: InstanceId,
    is_sent: bool,
}

impl TokenTicket {
    /// Takes a token for a selected backend server. Returns `None` if the server has no limit.
    pub(crate) fn take(
        shared: &Arc<GatewayShared>,
        state: &mut GatewayState,
        instance: &InstanceId,
    ) -> Option<Self> {
        let now = Instant::now();
        let view = state.fleet.get_mut(instance)?;
        view.limit.rate()?;
        // The selection has seen a token under the same lock.
        view.limit.charge(now);
        let group = ServerGroup::of_server(&view.record);
        let demand = state.token_state.groups.entry(group).or_default();
        demand.taken.add(now, 1.0);
        shared.metrics.tokens.with_label_values(&["taken"]).inc();
        Some(Self {
            shared: shared.clone(),
            instance: instance.clone(),
            is_sent: false,
        })
    }

    /// Records whether the request has reached the backend server.
    pub(crate) fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for TokenTicket {
    fn drop(&mut self) {
        if self.is_sent {
            return;
        }
        let tokens = &self.shared.metrics.tokens;
        tokens.with_label_values(&["returned"]).inc();
        if let Some(view) = self.shared.lock().fleet.get_mut(&self.instance) {
            view.limit.give_back(Instant::now());
        }
        self.shared.token_news.notify_waiters();
    }
}

/// Counts a request about a backend server itself, which is sent whether there is a token or not.
pub(crate) fn charge_request(shared: &GatewayShared, instance: &InstanceId) {
    if let Some(view) = shared.lock().fleet.get_mut(instance) {
        view.limit.charge(Instant::now());
    }
}
