//! Passes the events of a stream on, over the runs that produce it.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use logs::DecisionKind;
use platform::strip_hop_by_hop_headers;
use policy::{
    AttemptOutcome, //
    EventCursor,
};
use tokio::sync::mpsc::Sender;
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};
use units::InstanceId;
use web::{
    AbortedResponse,
    ResponseBody,
    ResponseChunk,
    abortable_body, //
};

use crate::generation::{
    OpenStream,
    open_stream, //
};
use crate::request::{
    AttemptHistory, //
    RequestContext,
};
use crate::request_error::RequestError;
use crate::send::release_connection;

/// Parts that wait for a slow caller.
const CHUNK_QUEUE_LENGTH: usize = 8;

/// Time without an event after which it is looked at whether the engine lives, and from then on the
/// pause between looks.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How evenly the events of a stream came, over all its runs.
#[derive(Debug, Default)]
struct StreamTiming {
    first: Option<Duration>,
    last: Option<Duration>,
    longest_gap: Duration,
}

impl StreamTiming {
    /// Notes events that came some time after the request.
    fn record(&mut self, elapsed: Duration) {
        self.first.get_or_insert(elapsed);
        if let Some(last) = self.last.replace(elapsed) {
            self.longest_gap = self.longest_gap.max(elapsed.saturating_sub(last));
        }
    }
}

/// How one run of a stream ended.
enum AttemptEnd {
    Complete,
    Failed(&'static str),
    Aborted,
    DeadlineExceeded,
}

/// Passes the head of a stream on and its events as they come.
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

/// Passes an error answer of an engine on.
fn forward_error(context: &RequestContext, response: Response<Incoming>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    let record = context.record(DecisionKind::Finish, "engine answered with an error");
    let record = record.input("status", head.status.as_u16()).failure();
    context.shared.log.write(record);
    if head.status.is_success() {
        return RequestError::Unsure("answer_unsigned").response();
    }
    strip_hop_by_hop_headers(&mut head.headers);
    Response::from_parts(head, body.map_err(|_| AbortedResponse).boxed_unsync())
}

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
            AttemptEnd::Complete => return log_end(&context, &timing, "stream is whole", false),
            AttemptEnd::Aborted => return log_end(&context, &timing, "caller has left", false),
            AttemptEnd::DeadlineExceeded => {
                log_end(&context, &timing, "out of time", true);
                break;
            }
            AttemptEnd::Failed(reason) => reason,
        };
        record_broken_connection(&context, &instance);
        if !context.may_retry(&history) {
            log_end(&context, &timing, reason, true);
            break;
        }
        context.log_retry(&instance, reason);
        cursor.start_attempt();
        match open_stream(&context, &mut history, cursor.last_id()).await {
            Ok(next) if next.response.http.status().is_success() => stream = next,
            _ => {
                log_end(&context, &timing, "cannot be resumed", true);
                break;
            }
        }
    }
    // The caller may have left meanwhile.
    let _ = chunks.send(Err(AbortedResponse)).await;
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

/// Learns from a whole stream how fast its engine makes tokens.
fn record_decode_speed(context: &RequestContext, instance: &InstanceId, started: Option<Instant>) {
    let Some(started) = started else { return };
    let mut state = context.shared.lock();
    let view = state.fleet.get(instance);
    let streams = view.map_or(0, |view| view.total_load().requests);
    let speeds = state.speeds.entry(context.service.clone()).or_default();
    let tokens = f64::from(context.output_tokens());
    speeds.steps.add_sample(streams, tokens, started.elapsed());
}

/// Waits until an engine shows no sign of life on any connection.
async fn wait_until_unresponsive(context: &RequestContext, instance: &InstanceId) {
    loop {
        sleep(LIVENESS_CHECK_INTERVAL).await;
        if context.shared.is_silent(instance) {
            return;
        }
    }
}

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
    let can_resume = context.rule.kind.is_retryable();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = wait_until_unresponsive(context, &instance), if can_resume => return AttemptEnd::Failed("silent"),
            () = chunks.closed() => return AttemptEnd::Aborted,
            () = sleep_until(context.deadline) => return AttemptEnd::DeadlineExceeded,
        };
        let data = match frame {
            None if cursor.is_mid_event() => return AttemptEnd::Failed("ended_mid_event"),
            None => {
                record_decode_speed(context, &instance, started);
                release_connection(&context.shared, response.connection, &response.metadata);
                return AttemptEnd::Complete;
            }
            Some(Err(_)) => return AttemptEnd::Failed("stream_cut"),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        context.shared.note_heard(&instance);
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
        let delivered = tokio::select! {
            delivered = chunks.send(Ok(events)) => delivered.is_ok(),
            () = sleep_until(context.deadline) => return AttemptEnd::DeadlineExceeded,
        };
        if !delivered {
            return AttemptEnd::Aborted;
        }
    }
}
