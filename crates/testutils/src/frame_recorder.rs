//! A relay between an entry and a side process that records the frames.

use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex, //
};

use bytes::BytesMut;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::tcp::{
    OwnedReadHalf,
    OwnedWriteHalf, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio_util::codec::Decoder;
use wire::{
    FrameCodec,
    FrameKind, //
};

type FrameLines = Arc<Mutex<Vec<String>>>;

/// Records the frames on the links to one side process.
#[derive(Debug)]
pub struct FrameRecorder {
    address: SocketAddr,
    lines: FrameLines,
}

impl FrameRecorder {
    /// Starts a relay to a side process, which is called `name` in the recorded lines.
    pub async fn start(name: &str, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let lines = FrameLines::default();
        let shared = lines.clone();
        let name = name.to_owned();
        tokio::spawn(async move {
            while let Ok((entry_stream, _)) = listener.accept().await {
                let Ok(side_stream) = TcpStream::connect(target).await else {
                    continue;
                };
                let (entry_read, entry_write) = entry_stream.into_split();
                let (side_read, side_write) = side_stream.into_split();
                let to_side = format!("entry -> {name}");
                let to_entry = format!("{name} -> entry");
                tokio::spawn(forward(to_side, entry_read, side_write, shared.clone()));
                tokio::spawn(forward(to_entry, side_read, entry_write, shared.clone()));
            }
        });
        Ok(Self { address, lines })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Removes and returns the recorded lines.
    pub fn take_lines(&self) -> Vec<String> {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        std::mem::take(&mut *lines)
    }
}

/// Formats a frame for recording. Returns `None` for the handshake, heartbeats and chunks without
/// tokens, which are not recorded.
fn describe(kind: &FrameKind) -> Option<String> {
    match kind {
        FrameKind::Challenge(_)
        | FrameKind::Hello(_)
        | FrameKind::Welcome(_)
        | FrameKind::Heartbeat(_) => None,
        FrameKind::Chunk(chunk) if chunk.tokens == 0 => None,
        kind => Some(format!("{kind:?}")),
    }
}

async fn forward(
    direction: String,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    lines: FrameLines,
) {
    let mut codec = FrameCodec::new();
    let mut pending = BytesMut::new();
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        pending.extend_from_slice(&buffer[..count]);
        while let Ok(Some(frame)) = codec.decode(&mut pending) {
            let line = frame.kind.as_ref().and_then(describe);
            let mut record = lines.lock().unwrap_or_else(|e| e.into_inner());
            record.extend(line.map(|line| format!("{direction}: {line}")));
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
