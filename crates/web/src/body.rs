//! Bodies of requests and replies.

use std::convert::Infallible;
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
use tokio::sync::mpsc;

use crate::WebError;

/// Body of a reply, whole or streamed.
pub type ReplyBody = UnsyncBoxBody<Bytes, Infallible>;

/// A body that is whole from the start.
pub fn bytes_body(data: impl Into<Bytes>) -> ReplyBody {
    Full::new(data.into()).boxed_unsync()
}

/// A JSON reply.
pub fn json_reply(status: StatusCode, data: impl Into<Bytes>) -> Response<ReplyBody> {
    let mut reply = Response::new(bytes_body(data));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// A body whose parts come through a channel; a closed channel ends it.
pub fn channel_body(depth: usize) -> (mpsc::Sender<Bytes>, ReplyBody) {
    let (sender, receiver) = mpsc::channel(depth);
    (sender, ChannelBody { receiver }.boxed_unsync())
}

struct ChannelBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let polled = self.receiver.poll_recv(context);
        polled.map(|part| part.map(|data| Ok(Frame::data(data))))
    }
}

/// Reads a body whole, up to a size and within a time.
pub async fn read_body<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, WebError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let reading = Limited::new(body, limit).collect();
    let Ok(read) = tokio::time::timeout(time, reading).await else {
        return Err(WebError::Timeout);
    };
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(WebError::TooLarge { limit }),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(source) => Err(WebError::Exchange { source: *source }),
            Err(_) => Err(WebError::Timeout),
        },
    }
}
