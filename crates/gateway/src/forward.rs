//! Forwards the events of a stream to the caller, across the attempts that produce the stream.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::EventCursor;
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::InstanceId;
use web::{
    BodySender,
    ResponseBody,
    abortable_body, //
};

use crate::attempt::AttemptError;
use crate::crash_suspects::record_silence_later;
use crate::generation::{
    OpenStream,
    open_stream, //
};
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::send::{
    into_caller_response,
    read_response,
    record_silence,
    release_connection, //
};
use crate::standby::{
    check_resumed,
    open_standby, //
};
use crate::stream_attempt::{
    StreamAttempt,
    record_failed_attempt, //
};
use crate::stream_timing::StreamTiming;
use crate::unframed_end::record_response_end;

/// Number of chunks buffered for a slow caller.
const CHUNK_QUEUE_LENGTH: usize = 8;

/// How one attempt of a stream ended.
enum AttemptEnd {
    /// The stream arrived completely.
    Complete,
    /// The stream broke off or is invalid, for the given reason.
    Failed(&'static str),
    /// Another attempt sends while the engine of this one is silent or gone.
    Replaced(Box<StreamAttempt>),
    /// The caller disconnected.
    Aborted,
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// What happens next in a stream.
enum NextStep {
    /// The engine sent bytes, or the body ended.
    Received(Result<Option<Bytes>, &'static str>),
    /// The attempt ends for another reason.
    Ended(AttemptEnd),
}

/// State of a stream across its attempts.
struct StreamForwarder {
    context: Arc<RequestContext>,
    chunks: BodySender,
    history: AttemptHistory,
    cursor: EventCursor,
    timing: StreamTiming,
}

/// Returns the head of a stream as the response, and forwards the events in a background task.
pub(crate) async fn start_forwarding(
    context: Arc<RequestContext>,
    mut stream: OpenStream,
    history: AttemptHistory,
) -> Result<Response<ResponseBody>, RequestError> {
    let is_success = stream.response.http.status().is_success();
    if !is_success || !stream.response.metadata.is_signed {
        return forward_error(&context, stream).await;
    }
    let (mut head, body) = stream.response.http.into_parts();
    stream.response.http = Response::new(body);
    strip_hop_by_hop_headers(&mut head.headers);
    let (chunks, response_body) = abortable_body(CHUNK_QUEUE_LENGTH);
    let forwarder = StreamForwarder {
        cursor: EventCursor::after(context.metadata.last_event_id),
        timing: StreamTiming::default(),
        context,
        chunks,
        history,
    };
    tokio::spawn(forward_stream(forwarder, stream));
    Ok(Response::from_parts(head, response_body))
}

/// Forwards an error response of an engine once it has arrived completely, so that the caller gets a
/// whole answer or an error of the gateway. Replaces an unsigned success response by an error.
async fn forward_error(
    context: &RequestContext,
    stream: OpenStream,
) -> Result<Response<ResponseBody>, RequestError> {
    let status = stream.response.http.status();
    let record = context.record(
        DecisionKind::Finish,
        "engine returned an error status or an unsigned response",
    );
    let record = record.input("status", status.as_u16()).failure();
    context.shared.log.write(record);
    if status.is_success() {
        return Err(RequestError::Unsure("answer_unsigned"));
    }
    let instance = &stream.engine.selection.instance;
    match read_response(context, instance, stream.response).await {
        Ok(response) => Ok(into_caller_response(response)),
        Err(AttemptError::DeadlineExceeded) => Err(RequestError::DeadlineExceeded),
        Err(error) => Err(RequestError::Unsure(error.as_str())),
    }
}

/// Forwards a stream until it is complete. After a failure, resumes the stream on another engine if
/// the request may be retried; otherwise the response is aborted.
async fn forward_stream(mut forwarder: StreamForwarder, first_stream: OpenStream) {
    let mut attempt = StreamAttempt::new(first_stream);
    loop {
        let instance = attempt.instance.clone();
        let reason = match forwarder.forward_attempt(attempt).await {
            AttemptEnd::Complete => {
                forwarder.log_end("stream completed", false);
                return forwarder.chunks.finish().await;
            }
            AttemptEnd::Aborted => return forwarder.log_end("caller disconnected", false),
            AttemptEnd::DeadlineExceeded => {
                return forwarder.log_end("request deadline exceeded", true);
            }
            AttemptEnd::Replaced(next) => {
                attempt = *next;
                continue;
            }
            AttemptEnd::Failed(reason) => reason,
        };
        record_failed_attempt(&forwarder.context, &instance, reason);
        match forwarder.resume(&instance, reason).await {
            Some(next) => attempt = next,
            None => return,
        }
    }
}

/// Records a sample of the decode speed from a complete stream.
fn record_decode_speed(context: &RequestContext, instance: &InstanceId, started: Option<Instant>) {
    let Some(started) = started else { return };
    let mut state = context.shared.lock();
    let view = state.fleet.get(instance);
    let streams = view.map_or(0, |view| view.total_load().requests);
    let speeds = state.speeds.entry(context.service.clone()).or_default();
    let tokens = f64::from(context.output_tokens());
    speeds.decode.add_sample(streams, tokens, started.elapsed());
}

impl StreamForwarder {
    /// Resumes the stream after a failed attempt. Returns `None` if the stream cannot go on.
    async fn resume(&mut self, failed: &InstanceId, reason: &str) -> Option<StreamAttempt> {
        if !self.context.may_retry(&self.history) {
            self.log_end(reason, true);
            return None;
        }
        self.context.log_retry(failed, reason);
        self.cursor.start_attempt();
        let last_id = self.cursor.last_id();
        let opened = open_stream(&self.context, &mut self.history, last_id).await;
        match opened {
            Ok(next) if check_resumed(&next.response).is_ok() => Some(StreamAttempt::new(next)),
            _ => {
                self.log_end("stream could not be resumed on another engine", true);
                None
            }
        }
    }

    /// Forwards the events of one attempt until the attempt ends.
    async fn forward_attempt(&mut self, mut attempt: StreamAttempt) -> AttemptEnd {
        let instance = attempt.instance.clone();
        loop {
            let received = match self.next_step(&mut attempt, &instance).await {
                NextStep::Received(received) => received,
                NextStep::Ended(end) => return end,
            };
            let bytes = match received {
                Err(reason) => return AttemptEnd::Failed(reason),
                Ok(None) if self.cursor.is_mid_event() => {
                    return AttemptEnd::Failed("ended_mid_event");
                }
                Ok(None) => {
                    self.finish_attempt(attempt);
                    return AttemptEnd::Complete;
                }
                Ok(Some(bytes)) => bytes,
            };
            self.context.shared.record_liveness(&instance);
            attempt.record_bytes();
            let Ok(events) = self.cursor.push(&bytes) else {
                return AttemptEnd::Failed("events_out_of_order");
            };
            if events.is_empty() {
                continue;
            }
            self.timing.record(self.context.started.elapsed());
            let delivered = tokio::select! {
                delivered = self.chunks.send(events) => delivered,
                () = sleep_until(self.context.deadline) => return AttemptEnd::DeadlineExceeded,
            };
            if !delivered {
                return AttemptEnd::Aborted;
            }
        }
    }

    /// Waits for the next bytes of an attempt. Silence of the engine is no reason to end the stream,
    /// only to open another attempt beside it.
    async fn next_step(&mut self, attempt: &mut StreamAttempt, instance: &InstanceId) -> NextStep {
        let can_resume = self.context.rule.kind.is_retryable();
        let mut is_noted = false;
        loop {
            let context = &self.context;
            tokio::select! {
                received = attempt.next_bytes() => return NextStep::Received(received),
                () = context.wait_until_unresponsive(instance), if can_resume => {}
                never = record_silence(context, instance), if !can_resume => match never {},
                () = self.chunks.closed() => return NextStep::Ended(AttemptEnd::Aborted),
                () = sleep_until(context.deadline) => {
                    return NextStep::Ended(AttemptEnd::DeadlineExceeded);
                }
            }
            let may_retry = context.may_retry(&self.history);
            if !is_noted {
                is_noted = true;
                context.log_silence(instance, may_retry);
                record_silence_later(&context.shared, context.witness(), instance.clone());
            }
            if may_retry && let Some(step) = self.race_standby(attempt).await {
                return step;
            }
        }
    }

    /// Opens another attempt while a silent engine may still go on, and continues with the one that
    /// sends first. Returns `None` if the other attempt fails before the silence ends.
    async fn race_standby(&mut self, attempt: &mut StreamAttempt) -> Option<NextStep> {
        let Self {
            context,
            chunks,
            history,
            cursor,
            ..
        } = self;
        let mut failure = None;
        let standby = {
            let standby = open_standby(context, history, cursor.last_id());
            tokio::pin!(standby);
            loop {
                tokio::select! {
                    received = attempt.next_bytes(), if failure.is_none() => match received {
                        Err(reason) => failure = Some(reason),
                        Ok(None) if cursor.is_mid_event() => failure = Some("ended_mid_event"),
                        received => break Err(NextStep::Received(received)),
                    },
                    standby = &mut standby => break Ok(standby),
                    () = chunks.closed() => break Err(NextStep::Ended(AttemptEnd::Aborted)),
                    () = sleep_until(context.deadline) => {
                        break Err(NextStep::Ended(AttemptEnd::DeadlineExceeded));
                    }
                }
            }
        };
        match standby {
            Ok(Ok(next)) => {
                let reason = failure.unwrap_or("silent");
                self.replace_attempt(attempt, &next, reason);
                Some(NextStep::Ended(AttemptEnd::Replaced(Box::new(next))))
            }
            Ok(Err(reason)) => {
                let instance = &attempt.instance;
                self.context.log_standby(instance, "failed", reason);
                failure.map(|reason| NextStep::Received(Err(reason)))
            }
            Err(step) => {
                // The engine of the other attempt may have started to process the request.
                self.history.maybe_processed += 1;
                let instance = &attempt.instance;
                self.context
                    .log_standby(instance, "given_up", "stream went on or ended");
                Some(step)
            }
        }
    }

    fn replace_attempt(&mut self, attempt: &StreamAttempt, next: &StreamAttempt, reason: &str) {
        record_failed_attempt(&self.context, &attempt.instance, reason);
        self.context.log_standby(&next.instance, "used", reason);
        self.cursor.start_attempt();
    }

    fn finish_attempt(&self, attempt: StreamAttempt) {
        let context = &self.context;
        record_decode_speed(context, &attempt.instance, attempt.started);
        let is_framed = attempt.metadata.is_framed;
        record_response_end(context, &attempt.instance, is_framed, true);
        release_connection(&context.shared, attempt.connection, &attempt.metadata);
    }

    fn log_end(&self, reason: &str, failed: bool) {
        let (context, timing) = (&self.context, &self.timing);
        let elapsed = context.started.elapsed().as_millis() as u64;
        let record = context
            .record(DecisionKind::Finish, reason)
            .input("taken_ms", elapsed)
            .input(
                "first_event_ms",
                timing.first.map(|first| first.as_millis() as u64),
            )
            .input("widest_gap_ms", timing.longest_gap.as_millis() as u64)
            .input("draining", context.shared.is_draining());
        let name = if failed { "stream_broken" } else { "stream" };
        let outcomes = &context.shared.metrics.outcomes;
        outcomes.with_label_values(&[name]).inc();
        let record = if failed { record.failure() } else { record };
        context.shared.log.write(record);
    }
}
