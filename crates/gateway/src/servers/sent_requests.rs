//! Requests that this gateway has at each process of a backend server, and the ends of their connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use policy::{
    ProcessRequests,
    SiblingRequests, //
};
use tokio::time::Instant;
use units::{
    IncarnationId,
    InstanceId, //
};
use web::ConnectionWatch;

use crate::shared::GatewayShared;

/// Process of a backend server to which a request was sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerProcess {
    pub(crate) instance: InstanceId,
    /// Address to which the request was sent.
    pub(crate) address: SocketAddr,
    /// Start of the process, as it stated on the connection or as its entry stated when the request was sent.
    pub(crate) incarnation: Option<IncarnationId>,
}

/// Requests of this gateway by the process to which they were sent.
#[derive(Debug, Default)]
pub(crate) struct SentRequests(BTreeMap<ServerProcess, ProcessRequests>);

impl SentRequests {
    /// Returns the siblings of a request whose connection has ended.
    pub(crate) fn siblings(&self, end: &ResponseEnd) -> SiblingRequests {
        let requests = self.0.get(&end.process);
        requests.map_or(SiblingRequests::None, |requests| {
            requests.siblings(end.ended_at) //
        })
    }

    /// Removes the processes of which nothing is known any more.
    pub(crate) fn remove_idle(&mut self, now: Instant) {
        self.0.retain(|_, requests| !requests.is_idle(now));
    }
}

/// End of a response that may be the end of its process.
#[derive(Debug, Clone)]
pub(crate) struct ResponseEnd {
    pub(crate) process: ServerProcess,
    pub(crate) ended_at: Instant,
    /// Connection of the response.
    pub(crate) watch: ConnectionWatch,
}

/// Request that is counted as under way at its process until its connection ends or the value is dropped.
pub(crate) struct SentRequest {
    shared: Arc<GatewayShared>,
    process: ServerProcess,
    watch: ConnectionWatch,
    ended_at: Option<Instant>,
}

impl SentRequest {
    pub(crate) fn new(
        shared: &Arc<GatewayShared>,
        process: ServerProcess,
        watch: ConnectionWatch,
    ) -> Self {
        let mut state = shared.lock();
        state
            .sent_requests
            .0
            .entry(process.clone())
            .or_default()
            .begin();
        drop(state);
        Self {
            shared: shared.clone(),
            process,
            watch,
            ended_at: None,
        }
    }

    /// Records that the process, or its end, has closed the connection. Later calls change nothing.
    pub(crate) fn record_end(&mut self) -> ResponseEnd {
        let ended_at = *self.ended_at.get_or_insert_with(|| {
            let now = Instant::now();
            let mut state = self.shared.lock();
            if let Some(requests) = state.sent_requests.0.get_mut(&self.process) {
                requests.record_end(now);
            }
            now
        });
        ResponseEnd {
            process: self.process.clone(),
            ended_at,
            watch: self.watch.clone(),
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if self.ended_at.is_some() {
            return;
        }
        let mut state = self.shared.lock();
        if let Some(requests) = state.sent_requests.0.get_mut(&self.process) {
            requests.finish();
        }
    }
}
