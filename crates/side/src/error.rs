//! Errors of starting a side process.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a side process did not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SideError {
    /// An address is in use or not local.
    #[snafu(display("cannot listen on {address}: {source}; stop the other process or correct it"))]
    Listen {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The operations server did not start.
    #[snafu(display("cannot serve operations: {reason}; check the operations address"))]
    Operations {
        /// Why it failed.
        reason: String,
    },
}
