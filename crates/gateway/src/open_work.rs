//! Counts work at a backend server for as long as it is held.

use std::sync::Arc;

use policy::{
    OpenWork,
    PromptLoad, //
};
use tokio::time::Instant;
use units::InstanceId;

use crate::shared::GatewayShared;

/// Work that counts at a backend server until it is dropped.
pub(crate) struct OpenGuard {
    shared: Arc<GatewayShared>,
    instance: InstanceId,
    work: OpenWork,
}

impl OpenGuard {
    /// Counts work at a backend server.
    pub(crate) fn new(shared: &Arc<GatewayShared>, instance: &InstanceId, work: OpenWork) -> Self {
        if let Some(view) = shared.lock().fleet.get_mut(instance) {
            view.begin(Instant::now(), work);
        }
        Self {
            shared: shared.clone(),
            instance: instance.clone(),
            work,
        }
    }

    /// Counts the prompt as read.
    pub(crate) fn prompt_read(&mut self) {
        let read = OpenWork {
            prompts: self.work.prompts,
            ..OpenWork::default()
        };
        self.work.prompts = PromptLoad::NONE;
        self.take(read);
    }

    fn take(&self, work: OpenWork) {
        if let Some(view) = self.shared.lock().fleet.get_mut(&self.instance) {
            view.open.subtract(work);
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.take(self.work);
    }
}
