//! Errors at the start of a side process.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error that prevents the start of a side process.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SideError {
    /// The address is in use, or is not an address of this instance.
    #[snafu(display(
        "cannot listen on {address}: {source}; stop the process there or correct the setting"
    ))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The server for health checks and metrics did not start.
    #[snafu(display(
        "cannot start the operations server: {reason}; check the setting `operations`"
    ))]
    Operations {
        /// Cause of the failure.
        reason: String,
    },
}
