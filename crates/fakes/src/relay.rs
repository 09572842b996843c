//! A TCP relay that can go silent for its open connections while new ones work.

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

/// A relay before one address.
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
    /// Starts a relay to an address.
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
                    // Held open and never answered.
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

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards nothing more on the connections open now, and keeps them open.
    pub fn stall_open_connections(&self) {
        self.stall.send_modify(|count| *count += 1);
    }

    /// Cuts the peer off for new connections too, or lets it back.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
        if blocked {
            self.stall_open_connections();
        }
    }

    /// Connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
        self.accepted_connections.load(Ordering::Relaxed)
    }
}

async fn hold_open(stream: TcpStream, mut stalled: watch::Receiver<u64>) {
    // Ends with the relay.
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
    // Silent: both halves stay open until the relay ends.
    while stalled.changed().await.is_ok() {}
}
