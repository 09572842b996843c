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
pub(crate) enum OwnAnswer {
    /// No configuration is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The head does not say what is asked for.
    BadHead,
    /// The head is longer than allowed.
    HeadTooLarge,
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not arrive whole.
    BadBody,
    /// It has not run; no backend server takes it now.
    Unavailable(&'static str),
    /// It has not run; this gateway leaves and could not finish it.
    Leaving,
    /// It has not run; requests like it have crashed backend servers.
    KeptOut,
    /// It may have run.
    Unknown(&'static str),
    /// Time ran out, and it may have run.
    OutOfTime,
}

/// Pause after which a request that no backend server took may come back.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(300);
/// Pause after which a request that crashes backend servers may come back.
const KEPT_OUT_PAUSE: Duration = Duration::from_secs(60);
/// Pause after which another gateway is in rotation, or this one again.
const LEAVING_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause while no configuration is known.
const CONFIG_PAUSE: Duration = Duration::from_millis(500);

impl OwnAnswer {
    /// The answer's name in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::BadHead => "bad_head",
            Self::HeadTooLarge => "head_too_large",
            Self::TooLarge => "too_large",
            Self::BadBody => "bad_body",
            Self::Unavailable(reason) | Self::Unknown(reason) => reason,
            Self::KeptOut => "kept_out",
            Self::Leaving => "leaving",
            Self::OutOfTime => "out_of_time",
        }
    }

    /// When the caller may come back.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotConfigured => Some(CONFIG_PAUSE),
            Self::Unavailable(_) => Some(UNAVAILABLE_PAUSE),
            Self::KeptOut => Some(KEPT_OUT_PAUSE),
            Self::Leaving => Some(LEAVING_PAUSE),
            _ => None,
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured | Self::Unavailable(_) | Self::Leaving | Self::KeptOut => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer as a response.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.as_str());
        let mut response = json_response(self.status(), text);
        if let Some(pause) = self.retry_after()
            && let Ok(value) = HeaderValue::try_from(format!("{:.3}", pause.as_secs_f64()))
        {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

/// Asks the caller to use another connection next while the gateway leaves.
pub(crate) fn mark_leaving(shared: &GatewayShared, response: &mut Response<ResponseBody>) {
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}
