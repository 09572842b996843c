//! HTTP endpoints of the entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use units::ConfigVersion;
use web::{
    ResponseBody,
    WebError,
    bytes_body,
    json_response,
    read_body, //
};

use crate::caller_failure::CallerFailure;
use crate::completion::serve_completion;
use crate::completion_api::{
    PromptKind,
    model_list, //
};
use crate::error_response::failure_response;
use crate::service_call::{
    serve_call,
    serve_ticket, //
};
use crate::state::EntryShared;

/// Serves one HTTP request.
pub(crate) async fn serve_request(
    shared: Arc<EntryShared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    if parts.method == Method::GET {
        return serve_get(&shared, path);
    }
    if parts.method != Method::POST {
        return not_found();
    }
    let limits = &shared.settings.limits;
    let timeout = Duration::from_millis(limits.body_ms.into());
    let body = match read_body(body, limits.body_bytes as usize, timeout).await {
        Ok(body) => body,
        Err(error) => return failure_response(&body_failure(&error)),
    };
    let admitted = shared.lock().drain_gate.try_enter();
    if !admitted {
        let message = "this entry is stopping; send the request again";
        let retry_after = Duration::from_millis(100);
        return failure_response(&CallerFailure::not_run("stopping", message, retry_after));
    }
    let response = serve_post(&shared, path, &parts.headers, body).await;
    shared.lock().drain_gate.leave();
    response
}

async fn serve_post(
    shared: &Arc<EntryShared>,
    path: &str,
    headers: &hyper::HeaderMap,
    body: Bytes,
) -> Response<ResponseBody> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let shared = shared.clone();
    match segments[..] {
        ["v1", "completions"] => serve_completion(shared, PromptKind::Text, headers, &body).await,
        ["v1", "chat", "completions"] => {
            serve_completion(shared, PromptKind::Chat, headers, &body).await
        }
        ["v1", "services", service, call] => serve_call(shared, service, call, headers, body).await,
        ["v1", "services", service, call, "tickets"] => {
            serve_ticket(shared, service, call, headers).await
        }
        _ => not_found(),
    }
}

fn serve_get(shared: &EntryShared, path: &str) -> Response<ResponseBody> {
    match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => {
            let state = shared.lock();
            let configured = state.latest_config.version() > ConfigVersion(0);
            let linked = !state.links.is_empty();
            drop(state);
            let ready = configured && linked && !*shared.stopping.borrow();
            if ready {
                return text_response(StatusCode::OK, "ready\n");
            }
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        "/metrics" => text_response(StatusCode::OK, shared.metrics.to_text()),
        "/v1/models" => {
            let book = shared.lock().book.clone();
            json_response(StatusCode::OK, model_list(book.models.iter()))
        }
        _ => not_found(),
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(bytes_body(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn body_failure(error: &WebError) -> CallerFailure {
    let failure = CallerFailure::invalid("bad_body", error.to_string());
    match error {
        WebError::TooLarge { .. } => failure.with_status(StatusCode::PAYLOAD_TOO_LARGE),
        WebError::Timeout => failure.with_status(StatusCode::REQUEST_TIMEOUT),
        _ => failure,
    }
}

fn not_found() -> Response<ResponseBody> {
    let message = "no such path or method; see docs/api.md for what is served";
    let failure = CallerFailure::invalid("not_found", message);
    failure_response(&failure.with_status(StatusCode::NOT_FOUND))
}
