//! Bodies of requests and replies.

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

/// Why a reply ends before it is whole; its connection is then closed without the reply's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("the reply broke off before its end; send the request again if it may run again"))]
pub struct BrokenReply;

/// Body of a reply, whole or streamed.
pub type ReplyBody = UnsyncBoxBody<Bytes, BrokenReply>;

/// A body that is whole from the start.
pub fn bytes_body(data: impl Into<Bytes>) -> ReplyBody {
    let body = Full::new(data.into());
    body.map_err(|never| match never {}).boxed_unsync()
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
    let body = ChannelBody {
        receiver,
        to_part: Ok,
    };
    (sender, body.boxed_unsync())
}

/// Part of a reply, or the reason for which it breaks off.
pub type ReplyPart = Result<Bytes, BrokenReply>;

/// A body whose parts come through a channel and which may break off; a closed channel ends it.
pub fn breakable_body(depth: usize) -> (mpsc::Sender<ReplyPart>, ReplyBody) {
    let (sender, receiver) = mpsc::channel(depth);
    let body = ChannelBody {
        receiver,
        to_part: |part| part,
    };
    (sender, body.boxed_unsync())
}

struct ChannelBody<T> {
    receiver: mpsc::Receiver<T>,
    to_part: fn(T) -> ReplyPart,
}

impl<T> Body for ChannelBody<T> {
    type Data = Bytes;
    type Error = BrokenReply;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenReply>>> {
        let polled = self.receiver.poll_recv(context);
        let to_part = self.to_part;
        polled.map(|part| part.map(|part| to_part(part).map(Frame::data)))
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
