//! Request and response bodies.

use std::pin::Pin;
use std::task::{
    Context,
    Poll,
    ready, //
};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::body::{
    Body,
    Frame, //
};
use hyper::header::{
    CONTENT_LENGTH,
    CONTENT_TYPE,
    HeaderValue,
    TRANSFER_ENCODING, //
};
use hyper::http::response::Parts;
use hyper::{
    Response,
    StatusCode, //
};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::WebError;

/// Error that aborts a response before its end. The connection is then closed without the final
/// chunk, so that the receiver notices the truncation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display(
    "the response was aborted before its end; send the request again only if it is safe to run it twice"
))]
pub struct AbortedResponse;

/// Response body, buffered or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, AbortedResponse>;

/// Creates a body from data in memory.
pub fn bytes_body(data: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(data.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, data: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(bytes_body(data));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Creates a body whose chunks are sent through a channel. Closing the channel ends the body.
pub fn channel_body(depth: usize) -> (mpsc::Sender<Bytes>, ResponseBody) {
    let (sender, receiver) = mpsc::channel(depth);
    (sender, ChannelBody(receiver).boxed_unsync())
}

/// Creates a body whose chunks are sent through a channel. The body ends as complete only with
/// [`BodySender::finish`], so that a sender that is lost does not make a part look like the whole.
pub fn abortable_body(depth: usize) -> (BodySender, ResponseBody) {
    let (chunks, receiver) = mpsc::channel(depth);
    let body = AbortableBody {
        receiver,
        is_finished: false,
    };
    (BodySender(chunks), body.boxed_unsync())
}

/// Sender of the chunks of a body that is aborted unless it is finished.
#[derive(Debug)]
pub struct BodySender(mpsc::Sender<Option<Bytes>>);

impl BodySender {
    /// Sends a chunk. Returns whether the receiver still exists.
    pub async fn send(&self, data: Bytes) -> bool {
        self.0.send(Some(data)).await.is_ok()
    }

    /// Ends the body as complete.
    pub async fn finish(self) {
        // Nobody waits for the end if the receiver is gone.
        let _ = self.0.send(None).await;
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

struct ChannelBody(mpsc::Receiver<Bytes>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        let polled = self.0.poll_recv(context);
        polled.map(|chunk| chunk.map(|data| Ok(Frame::data(data))))
    }
}

struct AbortableBody {
    receiver: mpsc::Receiver<Option<Bytes>>,
    is_finished: bool,
}

impl Body for AbortableBody {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        if self.is_finished {
            return Poll::Ready(None);
        }
        Poll::Ready(match ready!(self.receiver.poll_recv(context)) {
            Some(Some(data)) => Some(Ok(Frame::data(data))),
            Some(None) => {
                self.is_finished = true;
                None
            }
            None => Some(Err(AbortedResponse)),
        })
    }
}

/// Returns whether the head of a response shows where its body ends. Otherwise the body ends with its
/// connection, unless it is the response to a `HEAD` request. A transfer coding goes before a length, and only
/// chunks show their end.
pub fn is_framed(head: &Parts) -> bool {
    let without_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    if without_body.contains(&head.status) {
        return true;
    }
    let headers = &head.headers;
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match codings.next_back() {
        Some(codings) => {
            let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
            last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
        }
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Reads a complete body, up to a maximum size and within a timeout.
pub async fn read_body<B>(body: B, limit_bytes: usize, timeout: Duration) -> Result<Bytes, WebError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let collecting = Limited::new(body, limit_bytes).collect();
    let Ok(read) = tokio::time::timeout(timeout, collecting).await else {
        return Err(WebError::Timeout);
    };
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(WebError::TooLarge { limit_bytes }),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(WebError::Exchange { source: *source }),
            Err(_) => Err(WebError::Timeout),
        },
    }
}
