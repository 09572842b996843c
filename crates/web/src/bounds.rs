//! Bounds on what a server's connections may hold and how long they may take.

use std::time::Duration;

use tokio::sync::watch;

/// Bounds on one connection. Open connections follow a change when they next wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Bytes of a request's head. An open connection keeps the room that it was given first.
    pub header_bytes: usize,
    /// Time for a head to arrive, from its first byte to its last.
    pub header_time: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_time: Duration,
}

/// Bounds on a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Connections served at a time; more wait in the kernel's queue.
    pub connections: usize,
    /// Bounds on each of them.
    pub bounds: watch::Receiver<ConnectionBounds>,
}

/// Bytes of a head where nothing else is set.
const HEADER_BYTES: usize = 32 * 1024;

impl ServerLimits {
    /// Limits that never change, with one time for heads and for idle connections.
    pub fn fixed(connections: usize, time: Duration) -> Self {
        let bounds = ConnectionBounds {
            header_bytes: HEADER_BYTES,
            header_time: time,
            idle_time: time,
        };
        // A receiver outlives its sender with the last value.
        let (_, bounds) = watch::channel(bounds);
        Self {
            connections,
            bounds,
        }
    }
}
