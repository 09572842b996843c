//! Errors on the start of a gateway.

use std::net::SocketAddr;

use snafu::Snafu;

/// Reason why a gateway could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The gateway cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}; choose a free address"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
