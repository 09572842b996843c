//! How one send to a backend server ended.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use platform::ResponseMetadata;
use web::ClientConnection;

/// An answer whose head has come.
pub(crate) struct OpenResponse {
    pub(crate) http: Response<Incoming>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: ClientConnection,
}

/// A whole answer.
pub(crate) struct CompleteResponse {
    pub(crate) http: Response<Bytes>,
    pub(crate) metadata: ResponseMetadata,
}

/// How a send ended without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// No connection came about; nothing has arrived there.
    Unreachable,
    /// The request has not run there and will not.
    NotProcessed(&'static str),
    /// It may have run.
    Unsure(&'static str),
    /// Time ran out while it was there.
    DeadlineExceeded,
}

impl AttemptError {
    /// The trouble's name in logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreached",
            Self::NotProcessed(reason) | Self::Unsure(reason) => reason,
            Self::DeadlineExceeded => "out_of_time",
        }
    }
}
