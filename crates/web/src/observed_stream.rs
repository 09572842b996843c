//! Stream whose reads and writes are observed.

use std::pin::Pin;
use std::task::{
    Context,
    Poll,
    ready, //
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

/// Stream that passes the number of bytes of each read to a closure, whose error fails the read, and
/// of each write to another, or `None` if the peer takes no bytes at the moment.
pub(crate) struct ObservedStream<S, R, W> {
    pub(crate) stream: S,
    pub(crate) observe_read: R,
    pub(crate) observe_write: W,
}

impl<S, R, W: FnMut(Option<usize>)> ObservedStream<S, R, W> {
    fn observe_written(
        &mut self,
        written: Poll<std::io::Result<usize>>,
    ) -> Poll<std::io::Result<usize>> {
        match &written {
            Poll::Pending => (self.observe_write)(None),
            Poll::Ready(Ok(bytes)) => (self.observe_write)(Some(*bytes)),
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl<S, R, W> AsyncRead for ObservedStream<S, R, W>
where
    S: AsyncRead + Unpin,
    R: FnMut(usize) -> std::io::Result<()> + Unpin,
    W: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready((self.observe_read)(read))
    }
}

impl<S, R, W> AsyncWrite for ObservedStream<S, R, W>
where
    S: AsyncWrite + Unpin,
    R: Unpin,
    W: FnMut(Option<usize>) + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.observe_written(written)
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, data);
        self.observe_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
