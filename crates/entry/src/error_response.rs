//! HTTP responses for failures, as JSON with a message that names the remedy.

use hyper::Response;
use hyper::header::{
    HeaderValue,
    RETRY_AFTER, //
};
use serde::Serialize;
use web::{
    ResponseBody,
    json_response, //
};

use crate::caller_failure::{
    CallerFailure,
    ExecutionState, //
};

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the JSON of a failure.
pub(crate) fn failure_json(failure: &CallerFailure) -> String {
    let error = ErrorFields {
        message: &failure.message,
        r#type: if failure.status.is_client_error() {
            "invalid_request"
        } else {
            "unavailable"
        },
        code: failure.code,
        not_run: failure.execution == ExecutionState::NotRun,
        retry_after_ms: failure.retry_after.map(|after| after.as_millis() as u64),
    };
    serde_json::to_string(&ErrorEnvelope { error }).unwrap_or_default()
}

/// Returns the HTTP response for a failure.
pub(crate) fn failure_response(failure: &CallerFailure) -> Response<ResponseBody> {
    let mut response = json_response(failure.status, failure_json(failure));
    if let Some(after) = failure.retry_after {
        let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
