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
pub struct SilentRelay {
    address: SocketAddr,
    silence: watch::Sender<u64>,
    blocked: Arc<AtomicBool>,
    connections: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for SilentRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SilentRelay {
    /// Starts a relay to an address.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(loopback).await?;
        let address = listener.local_addr()?;
        let (silence, silenced) = watch::channel(0);
        let blocked = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(AtomicU64::new(0));
        let shared = (blocked.clone(), connections.clone());
        let task = tokio::spawn(async move {
            let (blocked, connections) = shared;
            while let Ok((inner, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                if blocked.load(Ordering::Relaxed) {
                    // Held open and never answered.
                    tokio::spawn(hold(inner, silenced.clone()));
                    continue;
                }
                if let Ok(outer) = TcpStream::connect(target).await {
                    let (inner_read, inner_write) = inner.into_split();
                    let (outer_read, outer_write) = outer.into_split();
                    tokio::spawn(copy(inner_read, outer_write, silenced.clone()));
                    tokio::spawn(copy(outer_read, inner_write, silenced.clone()));
                }
            }
        });
        Ok(Self {
            address,
            silence,
            blocked,
            connections,
            task,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards nothing more on the connections open now, and keeps them open.
    pub fn silence_open(&self) {
        self.silence.send_modify(|count| *count += 1);
    }

    /// Cuts the peer off for new connections too, or lets it back.
    pub fn set_blocked(&self, blocked: bool) {
        self.blocked.store(blocked, Ordering::Relaxed);
        if blocked {
            self.silence_open();
        }
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn hold(stream: TcpStream, mut silenced: watch::Receiver<u64>) {
    // Ends with the relay.
    while silenced.changed().await.is_ok() {}
    drop(stream);
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut silenced: watch::Receiver<u64>,
) {
    silenced.mark_unchanged();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = silenced.changed() => break,
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
    while silenced.changed().await.is_ok() {}
}
