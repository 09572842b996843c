//! Error responses of the gateway itself.

use std::time::Duration;

use hyper::header::{
    CONNECTION,
    HeaderValue,
    RETRY_AFTER, //
};
use hyper::{
    Response,
    StatusCode, //
};
use web::{
    ResponseBody,
    json_response, //
};

use crate::shared::GatewayShared;

/// Why a request ends without a response of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// No configuration has been loaded yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The caller presents no key of an account, and the route is not public.
    UnknownCaller,
    /// The headers leave the requested host ambiguous.
    InvalidHeader,
    /// The request head exceeds its size limit.
    HeaderTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The body did not arrive completely.
    IncompleteBody,
    /// The request was not processed; no backend server accepts it now.
    Unavailable(&'static str),
    /// The request was not processed; the bodies of other requests and answers leave no memory for its own.
    /// Holds the time after which the caller may come back.
    MemoryFull(Duration),
    /// The request was not processed; this gateway is draining and could not finish it in time.
    Draining,
    /// The request was not processed; the same request may have crashed backend servers. Holds the
    /// time for which it must not run.
    Quarantined(Duration),
    /// The request was not processed; all backend servers are at the limits that they name. Holds the
    /// time after which the caller may come back.
    Limited(Duration),
    /// The request was not processed; all backend servers rest. Holds the time after which the caller
    /// may come back.
    Resting(Duration),
    /// The request was not processed; it takes up a stream that several software versions may have
    /// begun. Holds the time after which the caller may come back.
    VersionUnknown(Duration),
    /// The request may have been processed.
    Unsure(&'static str),
    /// The deadline passed, and the request may have been processed.
    DeadlineExceeded,
}

/// Delay before a retry of a request that no backend server accepted.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a retry while the gateway drains: time for the load balancer to switch to another
/// gateway, or for this one to return.
const DRAINING_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Delay before a retry while no configuration has been loaded.
pub(crate) const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);

impl RequestError {
    /// Returns the error's name in responses, logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::UnknownCaller => "unknown_caller",
            Self::InvalidHeader => "bad_head",
            Self::HeaderTooLarge => "head_too_large",
            Self::BodyTooLarge => "too_large",
            Self::IncompleteBody => "bad_body",
            Self::Unavailable(reason) | Self::Unsure(reason) => reason,
            Self::Quarantined(_) => "kept_out",
            Self::Limited(_) => "limited",
            Self::Resting(_) => "resting",
            Self::VersionUnknown(_) => "version_unknown",
            Self::MemoryFull(_) => "memory_full",
            Self::Draining => "leaving",
            Self::DeadlineExceeded => "out_of_time",
        }
    }

    /// Returns the delay after which the caller may retry.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotConfigured => Some(UNCONFIGURED_RETRY_DELAY),
            Self::Unavailable(_) => Some(UNAVAILABLE_RETRY_DELAY),
            Self::Quarantined(delay)
            | Self::MemoryFull(delay)
            | Self::Limited(delay)
            | Self::Resting(delay)
            | Self::VersionUnknown(delay) => Some(delay),
            Self::Draining => Some(DRAINING_RETRY_DELAY),
            _ => None,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured
            | Self::Unavailable(_)
            | Self::MemoryFull(_)
            | Self::Draining
            | Self::Quarantined(_)
            | Self::Limited(_)
            | Self::Resting(_)
            | Self::VersionUnknown(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownCaller => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::InvalidHeader | Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::Unsure(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the response that reports the error to the caller.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let body = format!("{{\"error\":\"{}\"}}", self.as_str());
        let mut response = json_response(self.status(), body);
        if let Some(delay) = self.retry_after()
            && let Ok(value) = HeaderValue::try_from(format!("{:.3}", delay.as_secs_f64()))
        {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Tells the caller to use another connection for its next request while the gateway drains.
pub(crate) fn close_while_draining(shared: &GatewayShared, response: &mut Response<ResponseBody>) {
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
