//! Errors of HTTP exchanges.

use std::net::SocketAddr;

use hyper::{
    Response,
    StatusCode, //
};
use snafu::Snafu;

/// Largest valid status (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Failure of an HTTP exchange.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WebError {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}; check that it listens there"))]
    Connect {
        /// Server address.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The exchange failed on an open connection; the request may have been processed.
    #[snafu(display("the exchange with the server broke: {source}; check what took effect"))]
    Exchange {
        /// Cause of the failure.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[snafu(display("the request cannot be built: {source}; check its path and headers"))]
    Build {
        /// Cause of the failure.
        source: hyper::http::Error,
    },
    /// The status of the response is none of HTTP's.
    #[snafu(display("the response has the status {status}, which is invalid; check the server"))]
    InvalidStatus {
        /// Status of the response.
        status: StatusCode,
    },
    /// The connection was reset after the end of a response without a length.
    #[snafu(display("the server reset the connection amid the request; check what took effect"))]
    Reset,
    /// The timeout expired.
    #[snafu(display("no answer within the time limit; try again later"))]
    Timeout,
    /// The bodies in memory leave no room for this one.
    #[snafu(display("no memory is left for the body; send it again later"))]
    MemoryFull,
    /// The body exceeds the size limit.
    #[snafu(display("the body is longer than {limit_bytes} bytes; send less"))]
    TooLarge {
        /// Size limit.
        limit_bytes: usize,
    },
}

/// Returns whether an exchange failed because the peer sent bytes that are no response in the protocol,
/// as opposed to a connection that broke.
pub fn is_malformed(error: &hyper::Error) -> bool {
    use std::error::Error;
    use std::io::ErrorKind;
    let io_error = error
        .source()
        .and_then(|e| e.downcast_ref::<std::io::Error>());
    let io_kind = io_error.map(std::io::Error::kind);
    error.is_parse()
        || matches!(
            io_kind,
            Some(ErrorKind::InvalidData | ErrorKind::InvalidInput)
        )
}

/// Returns an error if the status of a response is outside the classes of HTTP.
pub(crate) fn check_status<B>(response: &Response<B>) -> Result<(), WebError> {
    let status = response.status();
    if status.as_u16() > MAX_STATUS {
        return Err(WebError::InvalidStatus { status });
    }
    Ok(())
}

impl WebError {
    /// Returns whether the server sent bytes that are no response in the protocol.
    pub fn is_malformed(&self) -> bool {
        match self {
            Self::Exchange { source } => is_malformed(source),
            Self::TooLarge { .. } | Self::InvalidStatus { .. } => true,
            _ => false,
        }
    }

    /// Returns whether the server refused the connection, so that nothing listens there.
    pub fn is_connection_refused(&self) -> bool {
        let Self::Connect { source, .. } = self else {
            return false;
        };
        source.kind() == std::io::ErrorKind::ConnectionRefused
    }

    /// Returns whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Build { .. })
    }
}
