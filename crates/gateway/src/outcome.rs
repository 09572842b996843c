//! How one send to a backend server ended.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use platform::ResponseMetadata;
use web::ClientConnection;

/// An answer whose head has come.
pub(crate) struct OpenAnswer {
    pub(crate) response: Response<Incoming>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: ClientConnection,
}

/// A whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) response: Response<Bytes>,
    pub(crate) metadata: ResponseMetadata,
}

/// How a send ended without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendTrouble {
    /// No connection came about; nothing has arrived there.
    Unreached,
    /// The request has not run there and will not.
    NotRun(&'static str),
    /// It may have run.
    Unknown(&'static str),
    /// Time ran out while it was there.
    OutOfTime,
}

impl SendTrouble {
    /// The trouble's name in logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Unreached => "unreached",
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
            Self::OutOfTime => "out_of_time",
        }
    }
}
