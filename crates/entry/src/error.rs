//! Errors of starting an entry.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why an entry did not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// The callers' address is in use or not local.
    #[snafu(display("cannot listen on {address}: {source}; stop the other process or correct it"))]
    Listen {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
}
