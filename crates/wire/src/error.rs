//! Errors of links between processes.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why a link failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// No connection came about.
    #[snafu(display("cannot connect to {address}: {source}; check the peer's address"))]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}; connect again"))]
    Io {
        /// Why it broke.
        source: std::io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection; connect again"))]
    Closed,
    /// Nothing arrived for too long.
    #[snafu(display("the peer went silent; connect again"))]
    Timeout,
    /// A frame can't be decoded.
    #[snafu(display("a frame cannot be decoded: {source}; run the same version on both ends"))]
    Decode {
        /// Why it failed.
        source: prost::DecodeError,
    },
    /// A frame came that has no place in the handshake.
    #[snafu(display("unexpected frame in the handshake; connect a galenarail process only"))]
    UnexpectedFrame,
    /// The peer speaks another version.
    #[snafu(display("the peer speaks version {peer}, this is {local}; update the older one"))]
    VersionMismatch {
        /// Version of the peer.
        peer: u32,
        /// Version of this process.
        local: u32,
    },
    /// The peer does not know the shared secret.
    #[snafu(display("the peer does not know the shared secret; give both the same secret"))]
    Unauthenticated,
    /// The peer's id is no valid name.
    #[snafu(display("the peer's id is invalid: {source}; correct its settings"))]
    InvalidIdentity {
        /// Why it is invalid.
        source: units::UnitError,
    },
}
