//! Responses to one attempt at a backend server, and the errors of attempts.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use platform::ResponseMetadata;
use web::ClientConnection;

use crate::servers::sent_requests::{
    ResponseEnd,
    SentRequest, //
};

/// A response whose head has arrived and whose body has not been read.
pub(crate) struct OpenResponse {
    pub(crate) http: Response<Incoming>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: ClientConnection,
    pub(crate) sent: SentRequest,
}

/// A response that has been read completely.
pub(crate) struct CompleteResponse {
    pub(crate) http: Response<Bytes>,
    pub(crate) metadata: ResponseMetadata,
    /// End of a body without a length or chunks.
    pub(crate) unframed_end: Option<ResponseEnd>,
}

/// Why an attempt ended without a usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// The request did not reach the backend server.
    Unreachable,
    /// The backend server did not process the request and will not.
    NotProcessed(&'static str),
    /// The backend server may have processed the request.
    Unsure(&'static str),
    /// The deadline passed during the attempt.
    DeadlineExceeded,
    /// The attempt was not made, since the request may crash backend servers. Holds the time for
    /// which the request must not run.
    Quarantined(Duration),
}

impl AttemptError {
    /// Returns the error's name in logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreached",
            Self::NotProcessed(reason) | Self::Unsure(reason) => reason,
            Self::DeadlineExceeded => "out_of_time",
            Self::Quarantined(_) => "kept_out",
        }
    }
}
