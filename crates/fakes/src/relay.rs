//! A TCP relay that can stop forwarding on its open connections while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 * 1_024;

/// A TCP relay to one address. Dropping the relay closes its listener and all connections.
#[derive(Debug)]
pub struct StallingRelay {
    address: SocketAddr,
    stall: watch::Sender<u64>,
    blocked: Arc<AtomicBool>,
    accepted_connections: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for StallingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StallingRelay {
    /// Starts a relay to `target` on a free loopback port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(loopback).await?;
        let address = listener.local_addr()?;
        let (stall, stalled) = watch::channel(0);
        let blocked = Arc::new(AtomicBool::new(false));
        let accepted_connections = Arc::new(AtomicU64::new(0));
        let shared = (blocked.clone(), accepted_connections.clone());
        let task = tokio::spawn(async move {
            let (blocked, accepted_connections) = shared;
            while let Ok((client, _)) = listener.accept().await {
                accepted_connections.fetch_add(1, Ordering::Relaxed);
                if blocked.load(Ordering::Relaxed) {
                    // The connection stays open, but no byte is forwarded.
                    tokio::spawn(hold_open(client, stalled.clone()));
                    continue;
                }
                if let Ok(target_stream) = TcpStream::connect(target).await {
                    let (client_read, client_write) = client.into_split();
                    let (target_read, target_write) = target_stream.into_split();
                    tokio::spawn(forward(client_read, target_write, stalled.clone()));
                    tokio::spawn(forward(target_read, client_write, stalled.clone()));
                }
            }
        });
        Ok(Self {
            address,
            stall,
            blocked,
            accepted_connections,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all open connections without closing them.
    pub fn stall_open_connections(&self) {
        self.stall.send_modify(|count| *count += 1);
    }

    /// Blocks or unblocks the target.
    ///
    /// Blocking stalls all open and new connections. Unblocking affects new connections only.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
        if blocked {
            self.stall_open_connections();
        }
    }

    /// Returns the number of connections accepted since the start.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted_connections.load(Ordering::Relaxed)
    }
}

async fn hold_open(stream: TcpStream, mut stalled: watch::Receiver<u64>) {
    // The channel closes when the relay is dropped.
    while stalled.changed().await.is_ok() {}
    drop(stream);
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut stalled: watch::Receiver<u64>,
) {
    stalled.mark_unchanged();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = stalled.changed() => break,
        };
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
    // A stalled connection keeps both halves open until the relay is dropped.
    while stalled.changed().await.is_ok() {}
}
