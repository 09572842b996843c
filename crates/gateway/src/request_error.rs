//! Answers of the gateway's own.

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

/// Why a request ends without an answer of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// No configuration is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The head does not say what is asked for.
    InvalidHeader,
    /// The head is longer than allowed.
    HeaderTooLarge,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body did not arrive whole.
    IncompleteBody,
    /// It has not run; no backend server takes it now.
    Unavailable(&'static str),
    /// It has not run; this gateway leaves and could not finish it.
    Draining,
    /// It has not run; requests like it have crashed backend servers.
    Quarantined,
    /// It may have run.
    Unsure(&'static str),
    /// Time ran out, and it may have run.
    DeadlineExceeded,
}

/// Pause after which a request that no backend server took may come back.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Pause after which a request that crashes backend servers may come back.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(60);
/// Pause after which another gateway is in rotation, or this one again.
const DRAINING_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Pause while no configuration is known.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(500);

impl RequestError {
    /// The answer's name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::InvalidHeader => "bad_head",
            Self::HeaderTooLarge => "head_too_large",
            Self::BodyTooLarge => "too_large",
            Self::IncompleteBody => "bad_body",
            Self::Unavailable(reason) | Self::Unsure(reason) => reason,
            Self::Quarantined => "kept_out",
            Self::Draining => "leaving",
            Self::DeadlineExceeded => "out_of_time",
        }
    }

    /// When the caller may come back.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotConfigured => Some(UNCONFIGURED_RETRY_DELAY),
            Self::Unavailable(_) => Some(UNAVAILABLE_RETRY_DELAY),
            Self::Quarantined => Some(QUARANTINE_RETRY_DELAY),
            Self::Draining => Some(DRAINING_RETRY_DELAY),
            _ => None,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured | Self::Unavailable(_) | Self::Draining | Self::Quarantined => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::InvalidHeader | Self::IncompleteBody => StatusCode::BAD_REQUEST,
            Self::Unsure(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer as a response.
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

/// Asks the caller to use another connection next while the gateway leaves.
pub(crate) fn close_while_draining(shared: &GatewayShared, response: &mut Response<ResponseBody>) {
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
