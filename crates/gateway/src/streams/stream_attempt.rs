//! One attempt of a stream whose response head has arrived.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::ResponseMetadata;
use policy::{
    AttemptOutcome,
    EventError, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    SoftwareVersion, //
};
use web::{
    ClientConnection,
    is_malformed, //
};

use crate::attempt::OpenResponse;
use crate::request::RequestContext;
use crate::servers::in_flight::InFlightGuard;
use crate::servers::sent_requests::{
    ResponseEnd,
    SentRequest, //
};
use crate::streams::generation::OpenStream;
use crate::suspects::crash_suspects::record_crash;
use crate::usage::usage_state::record_stream_begun;

/// Body of one attempt, with the load that the attempt puts on its engine.
pub(crate) struct StreamAttempt {
    pub(crate) instance: InstanceId,
    /// Software version of the engine's entry when the attempt was sent.
    pub(crate) version: Option<SoftwareVersion>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: ClientConnection,
    body: Incoming,
    sent: SentRequest,
    in_flight: InFlightGuard,
    /// When the first bytes arrived.
    pub(crate) started: Option<Instant>,
}

impl StreamAttempt {
    pub(crate) fn new(stream: OpenStream) -> Self {
        Self {
            instance: stream.engine.selection.instance,
            version: stream.engine.selection.version,
            metadata: stream.response.metadata,
            connection: stream.response.connection,
            body: stream.response.http.into_body(),
            sent: stream.response.sent,
            in_flight: stream.in_flight,
            started: None,
        }
    }

    /// Returns the end of a body without a length or chunks, which has been read to its end.
    pub(crate) fn unframed_end(&mut self) -> Option<ResponseEnd> {
        (!self.metadata.is_framed).then(|| self.sent.record_end())
    }

    /// Returns the next bytes, `None` at the end of the body, or why the body ended early. Nothing is
    /// lost if the future is dropped.
    pub(crate) async fn next_bytes(&mut self) -> Result<Option<Bytes>, &'static str> {
        match self.body.frame().await {
            None => {
                self.unframed_end();
                Ok(None)
            }
            Some(Err(error)) if is_malformed(&error) => Err("malformed_response"),
            Some(Err(_)) => {
                self.sent.record_end();
                Err("stream_cut")
            }
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&mut self, context: &RequestContext) {
        context.shared.record_liveness(&self.instance);
        if self.started.is_none() {
            self.started = Some(Instant::now());
            record_stream_begun(context);
            self.in_flight.finish_prefill();
        }
    }
}

/// Checks that a response carries a stream of an engine.
pub(crate) fn check_stream(response: &OpenResponse) -> Result<(), &'static str> {
    if !response.http.status().is_success() {
        return Err("error_status");
    }
    if response.metadata.is_signed {
        Ok(())
    } else {
        Err("answer_unsigned")
    }
}

/// Returns the name in logs of the reason why the events of an attempt do not fit their stream.
pub(crate) fn event_error_name(error: EventError) -> &'static str {
    match error {
        EventError::TooLong | EventError::Gap { .. } => "events_out_of_order",
        EventError::NotContinued => "not_continued",
    }
}

/// Records that the stream of an attempt ended early or was given up for another one.
pub(crate) fn record_failed_attempt(context: &RequestContext, instance: &InstanceId, reason: &str) {
    let outcome = AttemptOutcome::ConnectionBroken;
    let mut state = context.shared.lock();
    state
        .fleet
        .record_outcome(Instant::now(), instance, outcome);
    drop(state);
    // After other failures the engine is known to live.
    if matches!(reason, "stream_cut" | "ended_mid_event" | "server_ended") {
        let cause = "connection broke within a stream";
        record_crash(&context.shared, &context.witness(), instance, cause);
    }
}
