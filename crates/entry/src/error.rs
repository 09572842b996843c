//! Errors at the start of the entry daemon.

use std::net::SocketAddr;

use snafu::Snafu;

/// Reason why the entry daemon failed to start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// The listen address is in use or is not local.
    #[snafu(display("cannot listen on {address}: {source}; free the address or change `listen`"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
