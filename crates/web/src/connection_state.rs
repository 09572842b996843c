//! Phase of a server connection and the timeout that applies to it.

use std::pin::Pin;
use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};
use std::task::{
    Context,
    Poll, //
};

use bytes::Bytes;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::time::Instant;

use crate::{
    AbortedResponse,
    ConnectionLimits,
    ResponseBody, //
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HttpPhase {
    /// Waiting since then for the first byte of the next request.
    Idle(Instant),
    /// Receiving a request header since then.
    Header(Instant),
    /// Processing a request or sending its response.
    Serving,
}

/// Phase of a connection, shared by its stream and its response bodies.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionState(Arc<Mutex<HttpPhase>>);

/// Timeout that closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimeoutKind {
    /// No request arrived within the idle timeout.
    Idle,
    /// A request header was incomplete at the header timeout.
    Header,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new_idle() -> Self {
        Self(Arc::new(Mutex::new(HttpPhase::Idle(Instant::now()))))
    }

    fn lock(&self) -> MutexGuard<'_, HttpPhase> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a complete request header has arrived.
    pub(crate) fn start_request(&self) {
        *self.lock() = HttpPhase::Serving;
    }

    fn end_request(&self) {
        *self.lock() = HttpPhase::Idle(Instant::now());
    }

    pub(crate) fn record_bytes(&self) {
        let mut phase = self.lock();
        if matches!(*phase, HttpPhase::Idle(_)) {
            *phase = HttpPhase::Header(Instant::now());
        }
    }

    /// Returns when the current phase times out and by which timeout; `None` while a request is
    /// served.
    pub(crate) fn deadline(&self, limits: ConnectionLimits) -> Option<(Instant, TimeoutKind)> {
        match *self.lock() {
            HttpPhase::Idle(since) => Some((since + limits.idle_timeout, TimeoutKind::Idle)),
            HttpPhase::Header(since) => Some((since + limits.header_timeout, TimeoutKind::Header)),
            HttpPhase::Serving => None,
        }
    }
}

/// Response body that marks the connection as idle when dropped.
pub(crate) struct TrackedBody {
    pub(crate) body: ResponseBody,
    pub(crate) state: ConnectionState,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
