//! Callers' HTTP: finds what serves a request.

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

use crate::api::{
    ApiKind,
    model_list, //
};
use crate::calls::{
    serve_call,
    serve_ticket, //
};
use crate::completion::serve_completion;
use crate::failure::CallerFailure;
use crate::reply::failure_reply;
use crate::state::EntryShared;

/// Serves one request of a caller.
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
    let time = Duration::from_millis(limits.body_ms.into());
    let body = match read_body(body, limits.body_bytes as usize, time).await {
        Ok(body) => body,
        Err(error) => return failure_reply(&body_failure(&error)),
    };
    let entered = shared.lock().drain.try_enter();
    if !entered {
        let message = "this entry is stopping; send the request again";
        let after = Duration::from_millis(100);
        return failure_reply(&CallerFailure::not_run("stopping", message, after));
    }
    let reply = serve_post(&shared, path, &parts.headers, body).await;
    shared.lock().drain.leave();
    reply
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
        ["v1", "completions"] => serve_completion(shared, ApiKind::Text, headers, &body).await,
        ["v1", "chat", "completions"] => {
            serve_completion(shared, ApiKind::Chat, headers, &body).await
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
        "/healthz" => text_reply(StatusCode::OK, "ok\n"),
        "/readyz" => {
            let state = shared.lock();
            let configured = state.latest_config.version() > ConfigVersion(0);
            let linked = !state.links.is_empty();
            drop(state);
            let ready = configured && linked && !*shared.stop.borrow();
            if ready {
                return text_reply(StatusCode::OK, "ready\n");
            }
            text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
        "/metrics" => text_reply(StatusCode::OK, shared.metrics.to_text()),
        "/v1/models" => {
            let book = shared.lock().book.clone();
            json_response(StatusCode::OK, model_list(book.models.iter()))
        }
        _ => not_found(),
    }
}

fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut reply = Response::new(bytes_body(text));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

fn body_failure(error: &WebError) -> CallerFailure {
    let failure = CallerFailure::invalid("bad_body", error.to_string());
    match error {
        WebError::TooLarge { .. } => failure.status(StatusCode::PAYLOAD_TOO_LARGE),
        WebError::Timeout => failure.status(StatusCode::REQUEST_TIMEOUT),
        _ => failure,
    }
}

fn not_found() -> Response<ResponseBody> {
    let message = "no such path or method; see docs/api.md for what is served";
    let failure = CallerFailure::invalid("not_found", message);
    failure_reply(&failure.status(StatusCode::NOT_FOUND))
}
