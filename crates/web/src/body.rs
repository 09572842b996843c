//! Request and response bodies.

use std::pin::Pin;
use std::task::{
    Context,
    Poll, //
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
    CONTENT_TYPE,
    HeaderValue, //
};
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
    let body = ChannelBody {
        receiver,
        to_chunk: Ok,
    };
    (sender, body.boxed_unsync())
}

/// Chunk of a response body, or the error that aborts the response.
pub type ResponseChunk = Result<Bytes, AbortedResponse>;

/// Creates a body whose chunks are sent through a channel and which can be aborted. Closing the
/// channel ends the body.
pub fn abortable_body(depth: usize) -> (mpsc::Sender<ResponseChunk>, ResponseBody) {
    let (sender, receiver) = mpsc::channel(depth);
    let body = ChannelBody {
        receiver,
        to_chunk: |chunk| chunk,
    };
    (sender, body.boxed_unsync())
}

struct ChannelBody<T> {
    receiver: mpsc::Receiver<T>,
    to_chunk: fn(T) -> ResponseChunk,
}

impl<T> Body for ChannelBody<T> {
    type Data = Bytes;
    type Error = AbortedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedResponse>>> {
        let polled = self.receiver.poll_recv(context);
        let to_chunk = self.to_chunk;
        polled.map(|chunk| chunk.map(|chunk| to_chunk(chunk).map(Frame::data)))
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
