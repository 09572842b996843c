//! Whether the peer resets a connection after the end of a response.

use std::pin::Pin;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::task::{
    Context,
    Poll, //
};

use socket2::{
    SockRef,
    Socket, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};
use tokio::net::TcpStream;

/// State of one connection, also after its end. Clones share the state.
///
/// A peer that closes a connection while data is on the way to it ends the connection in order, and resets it
/// when the data arrives. The end of a response without a length is then no proof that it is complete.
#[derive(Debug, Clone, Default)]
pub struct ConnectionWatch(Arc<WatchState>);

#[derive(Debug, Default)]
struct WatchState {
    keeps_socket: AtomicBool,
    has_failed: AtomicBool,
    /// Second handle of the socket, which keeps the connection after its first one was closed.
    socket: Mutex<Option<Socket>>,
}

impl ConnectionWatch {
    /// Keeps the socket after the end of the connection, until [`Self::was_reset`] or until all clones are
    /// dropped.
    pub fn keep_socket(&self) {
        self.0.keeps_socket.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection has been reset or has failed, and closes the socket that was kept.
    pub fn was_reset(&self) -> bool {
        let kept = self
            .0
            .socket
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .take();
        if kept.is_some_and(|socket| !matches!(socket.take_error(), Ok(None))) {
            self.record_failure();
        }
        self.0.has_failed.load(Ordering::Relaxed)
    }

    fn record_failure(&self) {
        self.0.has_failed.store(true, Ordering::Relaxed);
    }

    fn keep(&self, stream: &TcpStream) {
        if !self.0.keeps_socket.load(Ordering::Relaxed) {
            return;
        }
        let mut kept = self.0.socket.lock().unwrap_or_else(|e| e.into_inner());
        *kept = SockRef::from(stream).try_clone().ok();
    }
}

/// TCP stream whose failures are recorded in a [`ConnectionWatch`].
#[derive(Debug)]
pub(crate) struct WatchedStream {
    pub(crate) stream: TcpStream,
    pub(crate) watch: ConnectionWatch,
}

impl WatchedStream {
    fn observe<T>(&self, result: Poll<std::io::Result<T>>) -> Poll<std::io::Result<T>> {
        if let Poll::Ready(Err(_)) = &result {
            self.watch.record_failure();
        }
        result
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.watch.keep(&self.stream);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.observe(read)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.observe(written)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.observe(flushed)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let ended = Pin::new(&mut self.stream).poll_shutdown(context);
        self.observe(ended)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, data);
        self.observe(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
