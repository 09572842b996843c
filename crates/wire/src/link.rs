//! A connection to a peer, with silence detected and sends bounded in time.

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

/// Frames that wait for a slow peer before the link is given up.
const SEND_QUEUE_FRAMES: usize = 4_096;
const RECEIVE_QUEUE_FRAMES: usize = 64;

/// Bounds in time on a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkTimeouts {
    /// Connecting and proving the secret.
    pub handshake: Duration,
    /// Without any frame, after which the peer counts as silent.
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

/// Queues frames for the peer; cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<Frame>,
    task: AbortHandle,
}

impl LinkSender {
    /// Queues a frame; false when the link is gone or its queue is full, and nothing was sent.
    pub fn send(&self, kind: FrameKind) -> bool {
        self.queue.try_send(Frame::from(kind)).is_ok()
    }

    /// Cuts the connection at once, whatever waits to be sent.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Whether the link is gone.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// A link on which both ends proved the secret.
#[derive(Debug)]
pub struct FrameLink {
    /// Who the other end is.
    pub peer: PeerIdentity,
    /// Frames to the peer.
    pub sender: LinkSender,
    /// Frames from the peer; ends with the error that ended the link.
    pub receiver: mpsc::Receiver<Result<FrameKind, WireError>>,
}

/// Connects to a peer and proves the secret.
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

/// Lets a peer prove the secret on an accepted connection.
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
    // A failure to set this option costs time only.
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

/// Ends when either side of the link is dropped, the peer is silent, or an error occurs.
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
        // All senders are gone; an orderly end for the peer.
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
        // The receiver may be gone already.
        let _ = incoming.send(Err(error)).await;
    }
}
