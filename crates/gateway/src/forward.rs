//! Forwards the events of a stream to the caller, across the attempts that produce the stream.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::{
    AttemptOutcome,
    EventCursor, //
};
use tokio::sync::mpsc::Sender;
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::InstanceId;
use web::{
    AbortedResponse,
    ResponseBody,
    ResponseChunk,
    abortable_body,
    is_malformed, //
};

use crate::answer_watch::AnswerWatch;
use crate::crash_suspects::{
    record_completed,
    record_crash,
    record_silence_later, //
};
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
    record_silence,
    release_connection, //
};

/// Number of chunks buffered for a slow caller.
const CHUNK_QUEUE_LENGTH: usize = 8;

/// Arrival times of the events of a stream, across all its attempts.
#[derive(Debug, Default)]
struct StreamTiming {
    /// Time from the request to the first event.
    first: Option<Duration>,
    /// Time from the request to the latest event.
    last: Option<Duration>,
    /// Longest time between two events.
    longest_gap: Duration,
}

impl StreamTiming {
    /// Records events that arrived `elapsed` after the request.
    fn record(&mut self, elapsed: Duration) {
        self.first.get_or_insert(elapsed);
        if let Some(last) = self.last.replace(elapsed) {
            self.longest_gap = self.longest_gap.max(elapsed.saturating_sub(last));
        }
    }
}

/// How one attempt of a stream ended.
enum AttemptEnd {
    /// The stream arrived completely.
    Complete,
    /// The stream broke off or is invalid, for the given reason.
    Failed(&'static str),
    /// The caller disconnected.
    Aborted,
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// Returns the head of a stream as the response, and forwards the events in a background task.
pub(crate) fn start_forwarding(
    context: Arc<RequestContext>,
    mut stream: OpenStream,
    history: AttemptHistory,
) -> Response<ResponseBody> {
    let is_success = stream.response.http.status().is_success();
    if !is_success || !stream.response.metadata.is_signed {
        return forward_error(&context, stream.response.http);
    }
    let (mut head, body) = stream.response.http.into_parts();
    stream.response.http = Response::new(body);
    strip_hop_by_hop_headers(&mut head.headers);
    let (chunks, response_body) = abortable_body(CHUNK_QUEUE_LENGTH);
    tokio::spawn(forward_stream(context, stream, history, chunks));
    Response::from_parts(head, response_body)
}

/// Forwards an error response of an engine, or replaces an unsigned success response by an error of
/// the gateway.
fn forward_error(context: &RequestContext, response: Response<Incoming>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    let record = context.record(
        DecisionKind::Finish,
        "engine returned an error status or an unsigned response",
    );
    let record = record.input("status", head.status.as_u16()).failure();
    context.shared.log.write(record);
    if head.status.is_success() {
        return RequestError::Unsure("answer_unsigned").response();
    }
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body.map_err(|_| AbortedResponse).boxed_unsync())
}

/// Forwards a stream until it is complete. After a failure, resumes the stream on another engine if
/// the request may be retried.
async fn forward_stream(
    context: Arc<RequestContext>,
    first_stream: OpenStream,
    mut history: AttemptHistory,
    chunks: Sender<ResponseChunk>,
) {
    let mut cursor = EventCursor::after(context.metadata.last_event_id);
    let mut timing = StreamTiming::default();
    let mut stream = first_stream;
    loop {
        let instance = stream.engine.selection.instance.clone();
        let reason = match forward_events(&context, stream, &mut cursor, &mut timing, &chunks).await
        {
            AttemptEnd::Complete => return log_end(&context, &timing, "stream completed", false),
            AttemptEnd::Aborted => return log_end(&context, &timing, "caller disconnected", false),
            AttemptEnd::DeadlineExceeded => {
                log_end(&context, &timing, "request deadline exceeded", true);
                break;
            }
            AttemptEnd::Failed(reason) => reason,
        };
        record_broken_connection(&context, &instance);
        if reason == "silent" {
            record_silence_later(&context.shared, context.witness(), instance.clone());
        }
        if let Some(cause) = crash_cause(reason) {
            record_crash(&context.shared, &context.witness(), &instance, cause);
        }
        if !context.may_retry(&history) {
            log_end(&context, &timing, reason, true);
            break;
        }
        context.log_retry(&instance, reason);
        cursor.start_attempt();
        match open_stream(&context, &mut history, cursor.last_id()).await {
            Ok(next) if next.response.http.status().is_success() => stream = next,
            _ => {
                log_end(
                    &context,
                    &timing,
                    "stream could not be resumed on another engine",
                    true,
                );
                break;
            }
        }
    }
    // The caller may have disconnected.
    let _ = chunks.send(Err(AbortedResponse)).await;
}

/// Returns why a failed attempt may be due to a crash of the engine, if it may.
fn crash_cause(reason: &str) -> Option<&'static str> {
    match reason {
        "stream_cut" | "ended_mid_event" => Some("connection broke within a stream"),
        _ => None,
    }
}

fn record_broken_connection(context: &RequestContext, instance: &InstanceId) {
    let mut state = context.shared.lock();
    state
        .fleet
        .record_outcome(Instant::now(), instance, AttemptOutcome::ConnectionBroken);
}

fn log_end(context: &RequestContext, timing: &StreamTiming, reason: &str, failed: bool) {
    let elapsed = context.started.elapsed().as_millis() as u64;
    let record = context
        .record(DecisionKind::Finish, reason)
        .input("taken_ms", elapsed)
        .input(
            "first_event_ms",
            timing.first.map(|first| first.as_millis() as u64),
        )
        .input("widest_gap_ms", timing.longest_gap.as_millis() as u64);
    let name = if failed { "stream_broken" } else { "stream" };
    context
        .shared
        .metrics
        .outcomes
        .with_label_values(&[name])
        .inc();
    context
        .shared
        .log
        .write(if failed { record.failure() } else { record });
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

/// Forwards the events of one attempt until the attempt ends.
async fn forward_events(
    context: &RequestContext,
    stream: OpenStream,
    cursor: &mut EventCursor,
    timing: &mut StreamTiming,
    chunks: &Sender<ResponseChunk>,
) -> AttemptEnd {
    let OpenStream {
        response,
        mut in_flight,
        engine,
    } = stream;
    let instance = engine.selection.instance;
    let (_, mut body) = response.http.into_parts();
    let mut started = None;
    let mut answer = AnswerWatch::default();
    let can_resume = context.rule.kind.is_retryable();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = context.wait_until_unresponsive(&instance), if can_resume => return AttemptEnd::Failed("silent"),
            never = record_silence(context, &instance), if !can_resume => match never {},
            () = chunks.closed() => return AttemptEnd::Aborted,
            () = sleep_until(context.deadline) => return AttemptEnd::DeadlineExceeded,
        };
        let data = match frame {
            None if cursor.is_mid_event() => return AttemptEnd::Failed("ended_mid_event"),
            None => {
                record_decode_speed(context, &instance, started);
                record_completed(context, response.metadata.is_framed);
                if !response.metadata.is_framed {
                    let cause = "connection ended with a stream of unknown length";
                    record_crash(&context.shared, &context.witness(), &instance, cause);
                }
                release_connection(&context.shared, response.connection, &response.metadata);
                return AttemptEnd::Complete;
            }
            Some(Err(error)) if is_malformed(&error) => {
                return AttemptEnd::Failed("malformed_response");
            }
            Some(Err(_)) => return AttemptEnd::Failed("stream_cut"),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        context.shared.record_liveness(&instance);
        if started.is_none() {
            started = Some(Instant::now());
            in_flight.finish_prefill();
        }
        let Ok(events) = cursor.push(&data) else {
            return AttemptEnd::Failed("events_out_of_order");
        };
        if events.is_empty() {
            continue;
        }
        timing.record(context.started.elapsed());
        answer.record_events(context);
        let delivered = tokio::select! {
            delivered = chunks.send(Ok(events)) => delivered.is_ok(),
            () = sleep_until(context.deadline) => return AttemptEnd::DeadlineExceeded,
        };
        if !delivered {
            return AttemptEnd::Aborted;
        }
    }
}
