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
use std::time::Duration;

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
    /// Waiting since then for the first byte of the first request.
    New(Instant),
    /// Waiting since then for the first byte of the next request.
    Idle(Instant),
    /// Receiving a request header since then.
    Header(Instant),
    /// Processing a request or sending its response.
    Serving,
}

/// Time for which a peer may take no byte of a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for the first request on a new connection during a shutdown.
pub const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Place of a request among those on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The first request on its connection.
    First,
    /// A request on a connection that the peer kept open.
    Kept,
}

impl ConnectionUse {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Kept => "kept",
        }
    }
}

#[derive(Debug)]
struct PhaseRecord {
    phase: HttpPhase,
    /// Place of the next request among those on the connection.
    next_use: ConnectionUse,
    /// Since when the peer has taken no byte of what is to be sent.
    stalled_since: Option<Instant>,
}

/// Phase of a connection, shared by its stream and its response bodies.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionState(Arc<Mutex<PhaseRecord>>);

/// Timeout that closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TimeoutKind {
    /// No request arrived within the idle timeout.
    Idle,
    /// A request header was incomplete at the header timeout.
    Header,
    /// The peer took no byte of a response for too long.
    Stalled,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(PhaseRecord {
            phase: HttpPhase::New(Instant::now()),
            next_use: ConnectionUse::First,
            stalled_since: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, PhaseRecord> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Records that a complete request header has arrived. Returns the request's place on the connection.
    pub(crate) fn start_request(&self) -> ConnectionUse {
        let mut record = self.lock();
        record.phase = HttpPhase::Serving;
        std::mem::replace(&mut record.next_use, ConnectionUse::Kept)
    }

    fn end_request(&self) {
        self.lock().phase = HttpPhase::Idle(Instant::now());
    }

    pub(crate) fn record_read(&self) {
        let phase = &mut self.lock().phase;
        if matches!(*phase, HttpPhase::New(_) | HttpPhase::Idle(_)) {
            *phase = HttpPhase::Header(Instant::now());
        }
    }

    /// Records a write, or `None` if the peer takes no bytes at the moment. The end of a response may
    /// still be on its way when its body has been handed over, so each write restarts the idle timeout.
    pub(crate) fn record_write(&self, written: Option<usize>) {
        let now = Instant::now();
        let mut record = self.lock();
        if written.is_none() {
            record.stalled_since.get_or_insert(now);
            return;
        }
        record.stalled_since = None;
        if let HttpPhase::Idle(since) = &mut record.phase {
            *since = now;
        }
    }

    /// Returns whether the connection may be closed, or will be after the response in progress, without
    /// losing a request that is on its way on a new connection or whose header is arriving.
    pub(crate) fn can_shut_down(&self) -> bool {
        match self.lock().phase {
            HttpPhase::New(since) => since.elapsed() >= FIRST_REQUEST_TIME,
            HttpPhase::Header(_) => false,
            HttpPhase::Idle(_) | HttpPhase::Serving => true,
        }
    }

    /// Returns when the current phase times out and by which timeout; `None` while a request is
    /// served and the peer takes what is sent.
    pub(crate) fn deadline(&self, limits: ConnectionLimits) -> Option<(Instant, TimeoutKind)> {
        let record = self.lock();
        match (record.phase, record.stalled_since) {
            (_, Some(since)) => Some((since + STALL_TIMEOUT, TimeoutKind::Stalled)),
            (HttpPhase::Serving, None) => None,
            (HttpPhase::New(since) | HttpPhase::Idle(since), None) => {
                Some((since + limits.idle_timeout, TimeoutKind::Idle))
            }
            (HttpPhase::Header(since), None) => {
                Some((since + limits.header_timeout, TimeoutKind::Header))
            }
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
