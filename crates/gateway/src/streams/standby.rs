//! Opens another attempt of a stream beside one whose engine has fallen silent.
//!
//! The silent engine may go on, so its stream is kept until the other one has sent the next event.

use std::sync::Arc;

use bytes::Bytes;
use policy::EventCursor;

use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::streams::generation::open_stream;
use crate::streams::stream_attempt::{
    StreamAttempt,
    check_stream,
    event_error_name,
    record_failed_attempt, //
};

/// Another attempt that goes on with a stream.
pub(crate) struct StandbyStream {
    pub(crate) attempt: StreamAttempt,
    /// Events of the attempt that follow those of the stream.
    pub(crate) events: Bytes,
    /// Position of the attempt.
    pub(crate) cursor: EventCursor,
}

/// Opens an attempt that goes on where `cursor` stands, and waits until its engine has sent the next
/// event.
pub(crate) async fn open_standby(
    context: &Arc<RequestContext>,
    history: &mut AttemptHistory,
    mut cursor: EventCursor,
) -> Result<StandbyStream, &'static str> {
    cursor.start_attempt();
    let opened = open_stream(context, history, cursor.last_id()).await;
    let stream = opened.map_err(|error| error.as_str())?;
    check_stream(&stream.response)?;
    let mut attempt = StreamAttempt::new(stream);
    let instance = attempt.instance.clone();
    let sent = tokio::select! {
        sent = read_next_event(context, &mut attempt, &mut cursor) => sent,
        () = context.wait_until_unresponsive(&instance) => Err("silent"),
    };
    match sent {
        Ok(events) => Ok(StandbyStream {
            attempt,
            events,
            cursor,
        }),
        Err(reason) => {
            record_failed_attempt(context, &instance, reason);
            Err(reason)
        }
    }
}

/// Reads the first events that are new to the caller. The end of a body without any is not that of the
/// stream, as far as is known.
async fn read_next_event(
    context: &RequestContext,
    attempt: &mut StreamAttempt,
    cursor: &mut EventCursor,
) -> Result<Bytes, &'static str> {
    loop {
        let Some(bytes) = attempt.next_bytes().await? else {
            // The end of a body of unknown length may be that of its engine.
            return Err(if cursor.is_mid_event() || !attempt.metadata.is_framed {
                "ended_mid_event"
            } else {
                "not_continued"
            });
        };
        attempt.record_bytes(context);
        let events = cursor.push(&bytes).map_err(event_error_name)?;
        if !events.is_empty() {
            return Ok(events);
        }
    }
}
