//! Errors of links between processes.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error that closes a link or prevents it.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The TCP connection could not be established.
    #[snafu(display("cannot connect to {address}: {source}; check the peer's address"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Reading from the connection or writing to it failed.
    #[snafu(display("the connection failed: {source}; reconnect to the peer"))]
    Io {
        /// Error of the connection.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection; reconnect to the peer"))]
    Closed,
    /// The handshake, a send or the wait for the next frame timed out.
    #[snafu(display("the peer did not respond in time; reconnect to the peer"))]
    Timeout,
    /// A frame cannot be decoded.
    #[snafu(display("a frame cannot be decoded: {source}; run the same version on both ends"))]
    Decode {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
    /// A frame other than the expected step of the handshake arrived.
    #[snafu(display(
        "unexpected frame during the handshake; check that the peer is a galenarail process"
    ))]
    UnexpectedFrame,
    /// The peer has another protocol version.
    #[snafu(display(
        "the peer has protocol version {peer}, this process has {local}; update the older one"
    ))]
    VersionMismatch {
        /// Protocol version of the peer.
        peer: u32,
        /// Protocol version of this process.
        local: u32,
    },
    /// The peer did not prove knowledge of the shared secret.
    #[snafu(display(
        "the peer does not have the shared secret; set the same secret in both processes"
    ))]
    Unauthenticated,
    /// The instance id of the peer is not a valid name.
    #[snafu(display(
        "the peer's instance id is invalid: {source}; correct it in the peer's settings"
    ))]
    InvalidIdentity {
        /// Error of parsing the instance id.
        source: units::UnitError,
    },
}
