//! Attempts under way and the events that links bring for them.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::mpsc;
use units::{
    AttemptId,
    InstanceId,
    TokenCount, //
};
use wire::{
    CallOutcome,
    FinishCode, //
};

/// What came for an attempt.
#[derive(Debug, Clone)]
pub(crate) enum AttemptEvent {
    Chunk {
        offset: TokenCount,
        tokens: TokenCount,
        data: Bytes,
    },
    End {
        total: TokenCount,
        finish: FinishCode,
        kv_handle: String,
    },
    Refused {
        reason: String,
        retry_after_ms: u32,
    },
    Outcome(CallOutcome),
    Tickets(Vec<String>),
    /// The link is gone; nothing more will come.
    LinkLost,
}

struct AttemptRoute {
    instance: InstanceId,
    sender: mpsc::UnboundedSender<AttemptEvent>,
}

/// Where the events of each attempt go; events of ended attempts are dropped.
#[derive(Default)]
pub(crate) struct AttemptTable {
    routes: BTreeMap<AttemptId, AttemptRoute>,
    last_id: u64,
}

impl AttemptTable {
    /// Opens an attempt on an instance. An answer's length bounds what its channel holds.
    pub(crate) fn open(
        &mut self,
        instance: &InstanceId,
    ) -> (AttemptId, mpsc::UnboundedReceiver<AttemptEvent>) {
        self.last_id += 1;
        let id = AttemptId(self.last_id);
        let (sender, receiver) = mpsc::unbounded_channel();
        let instance = instance.clone();
        self.routes.insert(id, AttemptRoute { instance, sender });
        (id, receiver)
    }

    /// Ends an attempt.
    pub(crate) fn close(&mut self, id: AttemptId) {
        self.routes.remove(&id);
    }

    /// Passes an event on if its attempt runs on the instance that sent it.
    pub(crate) fn deliver(&self, from: &InstanceId, id: AttemptId, event: AttemptEvent) {
        let Some(route) = self.routes.get(&id) else {
            return;
        };
        if route.instance == *from {
            // The attempt may be ending at this moment.
            let _ = route.sender.send(event);
        }
    }

    /// Tells all attempts on an instance that its link is gone.
    pub(crate) fn notify_link_lost(&self, instance: &InstanceId) {
        let routes = self
            .routes
            .values()
            .filter(|route| route.instance == *instance);
        routes.for_each(|route| {
            let _ = route.sender.send(AttemptEvent::LinkLost);
        });
    }

    /// Attempts under way on an instance.
    pub(crate) fn count_on(&self, instance: &InstanceId) -> usize {
        let routes = self.routes.values();
        routes.filter(|route| route.instance == *instance).count()
    }
}
