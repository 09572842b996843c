//! Limits of a server and of each of its connections.

use std::time::Duration;

use tokio::sync::watch;

/// Limits of one connection. An open connection applies a change the next time that it is polled,
/// at the latest when its timer fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of a request header. The read buffer of an open connection keeps the size that
    /// it was created with.
    pub max_header_bytes: usize,
    /// Maximum time between the first and the last byte of a request header.
    pub header_timeout: Duration,
    /// Time without a request after which the connection is closed.
    pub idle_timeout: Duration,
}

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Number of connections served concurrently; further ones wait in the kernel's accept queue.
    pub max_connections: usize,
    /// Limits of each connection.
    pub connection_limits: watch::Receiver<ConnectionLimits>,
}

/// Header limit of servers that set no limit of their own.
const DEFAULT_MAX_HEADER_BYTES: usize = 32 * 1024;

impl ServerLimits {
    /// Creates limits that never change, with one timeout for headers and for idle connections.
    pub fn fixed(max_connections: usize, timeout: Duration) -> Self {
        let connection_limits = ConnectionLimits {
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            header_timeout: timeout,
            idle_timeout: timeout,
        };
        // The receiver keeps the last value after the sender is dropped.
        let (_, connection_limits) = watch::channel(connection_limits);
        Self {
            max_connections,
            connection_limits,
        }
    }
}
