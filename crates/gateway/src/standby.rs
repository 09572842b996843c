//! Opens another attempt of a stream beside one whose engine has fallen silent.
//!
//! The silent engine may go on, so its stream is kept until the other one sends.

use std::sync::Arc;

use crate::attempt::OpenResponse;
use crate::generation::open_stream;
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::stream_attempt::{
    StreamAttempt,
    record_failed_attempt, //
};

/// Opens an attempt that goes on after the event `last_id`, and waits until its engine sends.
pub(crate) async fn open_standby(
    context: &Arc<RequestContext>,
    history: &mut AttemptHistory,
    last_id: Option<u64>,
) -> Result<StreamAttempt, &'static str> {
    let opened = open_stream(context, history, last_id).await;
    let stream = opened.map_err(|error| error.as_str())?;
    check_resumed(&stream.response)?;
    let mut attempt = StreamAttempt::new(stream);
    let sending = attempt.wait_until_sending().await;
    if let Err(reason) = sending {
        record_failed_attempt(context, &attempt.instance, reason);
    }
    sending.map(|()| attempt)
}

/// Checks that a response can go on with a stream.
pub(crate) fn check_resumed(response: &OpenResponse) -> Result<(), &'static str> {
    if !response.http.status().is_success() {
        return Err("error_status");
    }
    if response.metadata.is_signed {
        Ok(())
    } else {
        Err("answer_unsigned")
    }
}
