//! Counts work at a backend server for as long as it is held.

use std::sync::Arc;

use policy::{
    BackendLoad,
    PrefillBacklog, //
};
use tokio::time::Instant;
use units::InstanceId;

use crate::shared::GatewayShared;

/// Work that counts at a backend server until it is dropped.
pub(crate) struct OpenGuard {
    shared: Arc<GatewayShared>,
    instance: InstanceId,
    work: BackendLoad,
}

impl OpenGuard {
    /// Counts work at a backend server.
    pub(crate) fn new(
        shared: &Arc<GatewayShared>,
        instance: &InstanceId,
        work: BackendLoad,
    ) -> Self {
        if let Some(view) = shared.lock().fleet.get_mut(instance) {
            view.record_send(Instant::now(), work);
        }
        Self {
            shared: shared.clone(),
            instance: instance.clone(),
            work,
        }
    }

    /// Counts the prompt as read.
    pub(crate) fn prompt_read(&mut self) {
        let read = BackendLoad {
            prefill_backlog: self.work.prefill_backlog,
            ..BackendLoad::default()
        };
        self.work.prefill_backlog = PrefillBacklog::NONE;
        self.take(read);
    }

    fn take(&self, work: BackendLoad) {
        if let Some(view) = self.shared.lock().fleet.get_mut(&self.instance) {
            view.own_load.subtract(work);
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.take(self.work);
    }
}
