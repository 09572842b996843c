//! Errors of starting a gateway.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a gateway could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// An address can't be listened on.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address"))]
    Listen {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
}
