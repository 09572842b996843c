//! HTTP responses of completions, complete or streamed.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{
    CACHE_CONTROL,
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Response,
    StatusCode, //
};
use tokio::sync::mpsc;
use tokio::time::timeout;
use web::{
    ResponseBody,
    channel_body,
    json_response, //
};

use crate::completion_job::CompletionJob;
use crate::driver::AnswerEvent;
use crate::error_response::{
    failure_json,
    failure_response, //
};

/// Maximum number of chunks buffered for a slow caller.
const BODY_CHANNEL_CAPACITY: usize = 64;

/// Waits for the end of the answer and returns it in one response.
pub(crate) async fn complete_response(
    job: &CompletionJob,
    mut events: mpsc::Receiver<AnswerEvent>,
) -> Response<ResponseBody> {
    let mut text = Vec::new();
    while let Some(event) = events.recv().await {
        match event {
            AnswerEvent::Chunk(data) => text.extend_from_slice(&data),
            AnswerEvent::Complete { finish, tokens } => {
                let text = String::from_utf8_lossy(&text);
                let body = job.request.response_body(
                    job.request_id,
                    job.created_unix_s,
                    &text,
                    finish,
                    tokens,
                );
                return json_response(StatusCode::OK, body);
            }
            AnswerEvent::Failed(failure) => return failure_response(&failure),
        }
    }
    json_response(StatusCode::INTERNAL_SERVER_ERROR, "{}")
}

/// Waits for the first event, so that a refusal still sets the HTTP status, then streams the
/// answer.
pub(crate) async fn streamed_response(
    job: CompletionJob,
    mut events: mpsc::Receiver<AnswerEvent>,
    stall_timeout: Duration,
) -> Response<ResponseBody> {
    let first = match events.recv().await {
        Some(AnswerEvent::Failed(failure)) => return failure_response(&failure),
        Some(first) => first,
        None => return json_response(StatusCode::INTERNAL_SERVER_ERROR, "{}"),
    };
    let (sender, body) = channel_body(BODY_CHANNEL_CAPACITY);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(event) = next {
            let data = encode_answer_event(&job, event);
            // A caller that stops reading loses its stream: this task drops `events`, and the
            // driver ends as well.
            if !matches!(timeout(stall_timeout, sender.send(data)).await, Ok(Ok(()))) {
                return;
            }
            next = events.recv().await;
        }
    });
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Encodes an event of a streamed answer.
///
/// A failed answer ends with an error and without the `[DONE]` marker, so that it cannot be
/// mistaken for a complete one.
fn encode_answer_event(job: &CompletionJob, event: AnswerEvent) -> Bytes {
    match event {
        AnswerEvent::Chunk(data) => {
            let text = String::from_utf8_lossy(&data);
            job.request
                .chunk_event(job.request_id, job.created_unix_s, &text)
        }
        AnswerEvent::Complete { finish, tokens } => {
            job.request
                .final_events(job.request_id, job.created_unix_s, finish, tokens)
        }
        AnswerEvent::Failed(failure) => format!("data: {}\n\n", failure_json(&failure)).into(),
    }
}
