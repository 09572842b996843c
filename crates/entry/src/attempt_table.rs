//! In-flight attempts and the delivery of link events to them.
//!
//! An attempt is one completion, call or ticket request sent to one side process.

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

/// Event received for an attempt.
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
    /// The link was closed; no further events follow.
    LinkLost,
}

/// Receiver of the events of one attempt.
struct AttemptRoute {
    instance: InstanceId,
    sender: mpsc::UnboundedSender<AttemptEvent>,
}

/// Receivers of the events of each in-flight attempt. Events of ended attempts are dropped.
#[derive(Default)]
pub(crate) struct AttemptTable {
    routes: BTreeMap<AttemptId, AttemptRoute>,
    last_id: u64,
}

impl AttemptTable {
    /// Opens an attempt on an instance and returns its id and its events.
    ///
    /// The channel is unbounded; the length of the answer limits the number of queued events.
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

    /// Removes an attempt.
    pub(crate) fn close(&mut self, id: AttemptId) {
        self.routes.remove(&id);
    }

    /// Delivers an event if its attempt is open on the instance that sent it.
    pub(crate) fn deliver(&self, from: &InstanceId, id: AttemptId, event: AttemptEvent) {
        let Some(route) = self.routes.get(&id) else {
            return;
        };
        if route.instance == *from {
            // The receiver may have been dropped because the attempt is ending.
            let _ = route.sender.send(event);
        }
    }

    /// Sends [`AttemptEvent::LinkLost`] to all attempts on an instance.
    pub(crate) fn notify_link_lost(&self, instance: &InstanceId) {
        let routes = self
            .routes
            .values()
            .filter(|route| route.instance == *instance);
        routes.for_each(|route| {
            let _ = route.sender.send(AttemptEvent::LinkLost);
        });
    }

    /// Returns the number of in-flight attempts on an instance.
    pub(crate) fn count_on(&self, instance: &InstanceId) -> usize {
        let routes = self.routes.values();
        routes.filter(|route| route.instance == *instance).count()
    }
}
