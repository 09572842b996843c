//! Turns a driver's events into a reply, whole or streamed.

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

use crate::drive::AnswerEvent;
use crate::reply::{
    failure_json,
    failure_reply, //
};
use crate::work::WorkItem;

/// Parts that wait for a slow reader.
const STREAM_DEPTH: usize = 64;

/// Waits for the whole answer.
pub(crate) async fn reply_whole(
    work: &WorkItem,
    mut events: mpsc::Receiver<AnswerEvent>,
) -> Response<ResponseBody> {
    let mut text = Vec::new();
    while let Some(event) = events.recv().await {
        match event {
            AnswerEvent::Part(data) => text.extend_from_slice(&data),
            AnswerEvent::Whole { finish, tokens } => {
                let text = String::from_utf8_lossy(&text);
                let body = work
                    .api
                    .whole(work.request, work.created, &text, finish, tokens);
                return json_response(StatusCode::OK, body);
            }
            AnswerEvent::Failed(failure) => return failure_reply(&failure),
        }
    }
    json_response(StatusCode::INTERNAL_SERVER_ERROR, "{}")
}

/// Waits for the first event, so that a refusal has its own status, then streams.
pub(crate) async fn reply_streamed(
    work: WorkItem,
    mut events: mpsc::Receiver<AnswerEvent>,
    stall: Duration,
) -> Response<ResponseBody> {
    let first = match events.recv().await {
        Some(AnswerEvent::Failed(failure)) => return failure_reply(&failure),
        Some(first) => first,
        None => return json_response(StatusCode::INTERNAL_SERVER_ERROR, "{}"),
    };
    let (sender, body) = channel_body(STREAM_DEPTH);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(event) = next {
            let data = event_bytes(&work, event);
            // A caller that does not read loses its stream, which ends the driver too.
            if !matches!(timeout(stall, sender.send(data)).await, Ok(Ok(()))) {
                return;
            }
            next = events.recv().await;
        }
    });
    let mut reply = Response::new(body);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

/// A failed answer ends with an error and without the end mark, so that it never looks whole.
fn event_bytes(work: &WorkItem, event: AnswerEvent) -> Bytes {
    match event {
        AnswerEvent::Part(data) => {
            let text = String::from_utf8_lossy(&data);
            work.api.part(work.request, work.created, &text)
        }
        AnswerEvent::Whole { finish, tokens } => {
            work.api.last(work.request, work.created, finish, tokens)
        }
        AnswerEvent::Failed(failure) => format!("data: {}\n\n", failure_json(&failure)).into(),
    }
}
