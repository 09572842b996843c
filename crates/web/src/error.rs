//! Errors of HTTP exchanges.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why an HTTP exchange failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WebError {
    /// No connection came about; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}; check that it listens there"))]
    Connect {
        /// Address that was tried.
        address: SocketAddr,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The exchange broke after the connection stood; the request may have taken effect.
    #[snafu(display("the exchange with the server broke: {source}; check what took effect"))]
    Exchange {
        /// Why it failed.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[snafu(display("the request cannot be built: {source}; check its path and headers"))]
    Build {
        /// Why it failed.
        source: hyper::http::Error,
    },
    /// Time ran out.
    #[snafu(display("no answer within the time limit; try again later"))]
    Timeout,
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes; send less"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl WebError {
    /// Whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Build { .. })
    }
}
