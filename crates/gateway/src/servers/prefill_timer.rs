//! Times a prefill on its engine.

use std::sync::Arc;

use policy::PrefillId;
use tokio::time::Instant;
use units::InstanceId;

use crate::shared::GatewayShared;

/// A running prefill, which counts as one without a result when it is dropped.
pub(crate) struct PrefillTimer {
    shared: Arc<GatewayShared>,
    instance: InstanceId,
    id: Option<PrefillId>,
}

impl PrefillTimer {
    /// Starts the time of a prefill of `tokens` with `tokens_ahead` to prefill before it.
    pub(crate) fn new(
        shared: &Arc<GatewayShared>,
        instance: &InstanceId,
        tokens: u64,
        tokens_ahead: u64,
    ) -> Self {
        let mut state = shared.lock();
        let view = state.fleet.get_mut(instance);
        let id = view.map(|view| view.start_prefill(Instant::now(), tokens, tokens_ahead));
        drop(state);
        Self {
            shared: shared.clone(),
            instance: instance.clone(),
            id,
        }
    }

    /// Records the time of a prefill that has ended well.
    pub(crate) fn finish(mut self) {
        self.end(true);
    }

    fn end(&mut self, is_success: bool) {
        let Some(id) = self.id.take() else { return };
        if let Some(view) = self.shared.lock().fleet.get_mut(&self.instance) {
            view.finish_prefill(Instant::now(), id, is_success);
        }
    }
}

impl Drop for PrefillTimer {
    fn drop(&mut self) {
        self.end(false);
    }
}
