//! What an open connection waits for, and until when.

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
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use tokio::time::Instant;

use crate::{
    BrokenReply,
    ConnectionBounds,
    ReplyBody, //
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitPhase {
    /// No byte of a next request has come since then.
    Idle(Instant),
    /// A head has been arriving since then.
    Head(Instant),
    /// A request is being answered.
    Serving,
}

/// What a connection waits for, shared by its stream and the bodies of its replies.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionWait(Arc<Mutex<WaitPhase>>);

/// Why a connection ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WaitEnd {
    /// No request came within the time for idleness.
    Idle,
    /// A head did not arrive whole in its time.
    LateHead,
}

impl ConnectionWait {
    /// A connection that has just been accepted.
    pub(crate) fn accepted() -> Self {
        Self(Arc::new(Mutex::new(WaitPhase::Idle(Instant::now()))))
    }

    fn lock(&self) -> MutexGuard<'_, WaitPhase> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A head has arrived whole.
    pub(crate) fn begin_request(&self) {
        *self.lock() = WaitPhase::Serving;
    }

    fn end_request(&self) {
        *self.lock() = WaitPhase::Idle(Instant::now());
    }

    fn take_bytes(&self) {
        let mut phase = self.lock();
        if matches!(*phase, WaitPhase::Idle(_)) {
            *phase = WaitPhase::Head(Instant::now());
        }
    }

    /// When the wait is over and why; nothing while a request is served.
    pub(crate) fn due(&self, bounds: ConnectionBounds) -> Option<(Instant, WaitEnd)> {
        match *self.lock() {
            WaitPhase::Idle(since) => Some((since + bounds.idle_time, WaitEnd::Idle)),
            WaitPhase::Head(since) => Some((since + bounds.header_time, WaitEnd::LateHead)),
            WaitPhase::Serving => None,
        }
    }
}

/// A stream that tells of arriving bytes.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    pub(crate) stream: S,
    pub(crate) wait: ConnectionWait,
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.wait.take_bytes();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The body of a reply; its connection is idle once it has been dropped.
pub(crate) struct WatchedBody {
    pub(crate) body: ReplyBody,
    pub(crate) wait: ConnectionWait,
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.wait.end_request();
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BrokenReply;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenReply>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
