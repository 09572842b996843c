//! Authenticated connection to a peer, closed when a receive or a send times out.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{
    SinkExt,
    StreamExt, //
};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::error::{
    ClosedSnafu,
    ConnectSnafu,
    TimeoutSnafu, //
};
use crate::handshake::{
    FramedStream,
    accept_handshake,
    connect_handshake, //
};
use crate::{
    Frame,
    FrameCodec,
    FrameKind,
    PeerIdentity,
    WireError, //
};
use policy::SharedSecret;

/// Capacity of the queue of frames to the peer; while it is full, sends fail.
const SEND_QUEUE_FRAMES: usize = 4_096;
const RECEIVE_QUEUE_FRAMES: usize = 64;

/// Timeouts of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Timeout of connecting and of the handshake.
    pub handshake: Duration,
    /// Time without a frame from the peer, or for a send to complete, after which the link closes.
    pub idle: Duration,
}

impl Default for LinkTimeouts {
    fn default() -> Self {
        Self {
            handshake: Duration::from_millis(1_000),
            idle: Duration::from_millis(1_500),
        }
    }
}

/// Handle that queues frames to the peer; cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Frame>,
    task: AbortHandle,
}

impl LinkSender {
    /// Queues a frame.
    ///
    /// Returns false, without sending the frame, if the link is closed or its queue is full.
    pub fn send(&self, kind: FrameKind) -> bool {
        self.queue.try_send(Frame::from(kind)).is_ok()
    }

    /// Closes the connection immediately and discards the queued frames.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Link on which both processes are authenticated.
#[derive(Debug)]
pub struct FrameLink {
    /// Identity of the peer.
    pub peer: PeerIdentity,
    /// Sender of frames to the peer.
    pub sender: LinkSender,
    /// Receiver of frames from the peer, whose last item is the error that closed the link.
    pub receiver: mpsc::Receiver<Result<FrameKind, WireError>>,
}

/// Connects to a peer and runs the handshake.
pub async fn connect_link(
    address: SocketAddr,
    secret: &SharedSecret,
    local: &PeerIdentity,
    timeouts: LinkTimeouts,
) -> Result<FrameLink, WireError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await;
        let stream = stream.context(ConnectSnafu { address })?;
        let mut framed = frame_stream(stream);
        let peer = connect_handshake(&mut framed, secret, local).await?;
        Ok(start_link(framed, peer, timeouts))
    };
    let connected = timeout(timeouts.handshake, connecting).await;
    connected.unwrap_or_else(|_| TimeoutSnafu.fail())
}

/// Runs the handshake on an accepted connection.
pub async fn accept_link(
    stream: TcpStream,
    secret: &SharedSecret,
    local: &PeerIdentity,
    timeouts: LinkTimeouts,
) -> Result<FrameLink, WireError> {
    let accepting = async {
        let mut framed = frame_stream(stream);
        let peer = accept_handshake(&mut framed, secret, local).await?;
        Ok(start_link(framed, peer, timeouts))
    };
    let accepted = timeout(timeouts.handshake, accepting).await;
    accepted.unwrap_or_else(|_| TimeoutSnafu.fail())
}

fn frame_stream(stream: TcpStream) -> FramedStream {
    // Without this option the link works with a higher latency.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, FrameCodec::new())
}

fn start_link(framed: FramedStream, peer: PeerIdentity, timeouts: LinkTimeouts) -> FrameLink {
    let (queue, outgoing) = mpsc::channel(SEND_QUEUE_FRAMES);
    let (incoming, receiver) = mpsc::channel(RECEIVE_QUEUE_FRAMES);
    let task = tokio::spawn(transfer_frames(framed, outgoing, incoming, timeouts)).abort_handle();
    FrameLink {
        peer,
        sender: LinkSender { queue, task },
        receiver,
    }
}

/// Transfers frames in both directions.
///
/// Ends when the link's sender or receiver is dropped, a timeout expires or an error occurs.
async fn transfer_frames(
    framed: FramedStream,
    mut outgoing: mpsc::Receiver<Frame>,
    incoming: mpsc::Sender<Result<FrameKind, WireError>>,
    timeouts: LinkTimeouts,
) {
    let (mut sink, mut stream) = framed.split();
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            let sending = async {
                sink.feed(frame).await?;
                while let Ok(more) = outgoing.try_recv() {
                    sink.feed(more).await?;
                }
                sink.flush().await
            };
            match timeout(timeouts.idle, sending).await {
                Ok(sent) => sent?,
                Err(_) => return TimeoutSnafu.fail(),
            }
        }
        // All senders were dropped: flush and shut the connection down in order.
        let _ = timeout(timeouts.idle, sink.close()).await;
        ClosedSnafu.fail()
    };
    let reading = async {
        loop {
            let Ok(next) = timeout(timeouts.idle, stream.next()).await else {
                return TimeoutSnafu.fail();
            };
            let Some(frame) = next else {
                return ClosedSnafu.fail();
            };
            let Some(kind) = frame?.kind else {
                continue;
            };
            if incoming.send(Ok(kind)).await.is_err() {
                return ClosedSnafu.fail();
            }
        }
    };
    let ended: Result<(), WireError> = tokio::select! {
        ended = writing => ended,
        ended = reading => ended,
    };
    if let Err(error) = ended {
        // The receiver may have been dropped already.
        let _ = incoming.send(Err(error)).await;
    }
}
