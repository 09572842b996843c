//! Forwards the events of a stream to the caller, across the attempts that produce the stream.

use std::sync::Arc;

use bytes::Bytes;
use logs::DecisionKind;
use policy::{
    AnswerSample,
    EndVerdict,
    EventCursor, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::{
    InstanceId,
    SoftwareVersion, //
};
use web::BodySender;

use crate::drain::{
    RunningAnswer,
    record_answer, //
};
use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::send::release_connection;
use crate::streams::generation::open_stream;
use crate::streams::standby::StandbyStream;
use crate::streams::stream_attempt::{
    StreamAttempt,
    check_stream,
    event_error_name,
    record_failed_attempt, //
};
use crate::streams::stream_timing::StreamTiming;
use crate::suspects::answer_watch::AnswerWatch;
use crate::suspects::unframed_end::{
    judge_response_end,
    record_response_end, //
};
use crate::versions::origin_lookup::record_first_event;

/// How the attempts of a stream ended.
pub(crate) enum StreamEnd {
    /// The stream arrived completely.
    Complete,
    /// The stream of this backend server broke off or is invalid, for the given reason. The failure has
    /// been recorded.
    Failed(InstanceId, &'static str),
    /// The caller disconnected, or the gateway has cut the stream as it ends.
    Aborted,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The version that began the stream could not be recorded before its first event.
    Unrecorded,
}

/// What happens next in a stream.
pub(crate) enum StreamStep {
    /// The engine sent bytes, or the body ended.
    Received(Result<Option<Bytes>, &'static str>),
    /// Another attempt has taken the place of one whose engine is silent or gone.
    Replaced(Box<StandbyStream>),
    Ended(StreamEnd),
}

/// State of a stream across its attempts.
pub(crate) struct StreamForwarder {
    pub(crate) context: Arc<RequestContext>,
    pub(crate) chunks: BodySender,
    pub(crate) history: AttemptHistory,
    pub(crate) cursor: EventCursor,
    pub(crate) timing: StreamTiming,
    /// Counts the stream as under way.
    pub(crate) _answer: RunningAnswer,
}

impl StreamForwarder {
    /// Forwards a stream until it is complete. After a failure, resumes the stream on another engine if
    /// the request may be retried; otherwise the response is aborted.
    pub(crate) async fn forward_stream(mut self, mut attempt: StreamAttempt) {
        loop {
            match self.forward_attempt(attempt).await {
                StreamEnd::Complete => {
                    self.log_end("stream completed", false);
                    self.record_answer_time();
                    return self.chunks.finish().await;
                }
                StreamEnd::Aborted => return self.log_abort(),
                StreamEnd::DeadlineExceeded => {
                    return self.log_end("request deadline exceeded", true);
                }
                StreamEnd::Unrecorded => return self.log_end("version_unrecorded", true),
                StreamEnd::Failed(instance, reason) => {
                    let Some(next) = self.resume(instance, reason).await else {
                        return;
                    };
                    attempt = next;
                }
            }
        }
    }

    /// Resumes the stream after a failed attempt. Returns `None` if the stream cannot go on.
    async fn resume(
        &mut self,
        mut failed: InstanceId,
        mut reason: &'static str,
    ) -> Option<StreamAttempt> {
        self.cursor.start_attempt();
        let last_id = self.cursor.last_id();
        while self.context.may_retry(&self.history) {
            self.context.log_retry(&failed, reason);
            let opened = tokio::select! {
                opened = open_stream(&self.context, &mut self.history, last_id) => opened,
                () = self.chunks.closed() => {
                    self.log_abort();
                    return None;
                }
            };
            let stream = match opened {
                Ok(stream) => stream,
                Err(error) => {
                    reason = error.as_str();
                    break;
                }
            };
            match check_stream(&stream.response) {
                Ok(()) => return Some(StreamAttempt::new(stream)),
                Err(error) => {
                    failed = stream.engine.selection.instance;
                    reason = error;
                }
            }
        }
        self.log_end(reason, true);
        None
    }

    /// Forwards the events of an attempt, and of those that replace it, until one ends.
    async fn forward_attempt(&mut self, mut attempt: StreamAttempt) -> StreamEnd {
        let mut instance = attempt.instance.clone();
        let mut answer = AnswerWatch::new(&self.context);
        loop {
            let received = match self.next_step(&mut attempt, &instance).await {
                StreamStep::Received(received) => received,
                StreamStep::Ended(end) => return end,
                StreamStep::Replaced(standby) => {
                    (attempt, self.cursor) = (standby.attempt, standby.cursor);
                    instance = attempt.instance.clone();
                    answer = AnswerWatch::new(&self.context);
                    if let Err(end) = self.deliver(&attempt, standby.events).await {
                        return end;
                    }
                    continue;
                }
            };
            let bytes = match received {
                Err(reason) => return self.fail(instance, reason),
                Ok(None) if self.cursor.is_mid_event() => {
                    return self.fail(instance, "ended_mid_event");
                }
                Ok(None) if self.has_broken_off(&mut attempt).await => {
                    return self.fail(instance, "server_ended");
                }
                Ok(None) if !self.cursor.has_continued() => {
                    return self.fail(instance, "not_continued");
                }
                Ok(None) => {
                    self.finish_attempt(attempt);
                    return StreamEnd::Complete;
                }
                Ok(Some(bytes)) => bytes,
            };
            attempt.record_bytes(&self.context);
            let events = match self.cursor.push(&bytes) {
                Ok(events) => events,
                Err(error) => return self.fail(instance, event_error_name(error)),
            };
            if !events.is_empty() {
                answer.record_events();
            }
            if let Err(end) = self.deliver(&attempt, events).await {
                return end;
            }
        }
    }

    /// Returns whether the end of a body without a length or chunks is that of its server.
    async fn has_broken_off(&self, attempt: &mut StreamAttempt) -> bool {
        let Some(end) = attempt.unframed_end() else {
            return false;
        };
        judge_response_end(&self.context, &end).await == EndVerdict::BrokenOff
    }

    fn fail(&self, instance: InstanceId, reason: &'static str) -> StreamEnd {
        record_failed_attempt(&self.context, &instance, reason);
        StreamEnd::Failed(instance, reason)
    }

    /// Sends events of an attempt to the caller.
    async fn deliver(&mut self, attempt: &StreamAttempt, events: Bytes) -> Result<(), StreamEnd> {
        if events.is_empty() {
            return Ok(());
        }
        if self.history.record_version(attempt.version.as_ref()) {
            self.record_version(attempt.version.as_ref()).await?;
        }
        self.timing.record(self.context.started.elapsed());
        tokio::select! {
            is_delivered = self.chunks.send(events) => {
                is_delivered.then_some(()).ok_or(StreamEnd::Aborted)
            }
            () = sleep_until(self.context.deadline) => Err(StreamEnd::DeadlineExceeded),
        }
    }

    /// Records the version of the stream before its first event is sent.
    async fn record_version(&self, version: Option<&SoftwareVersion>) -> Result<(), StreamEnd> {
        tokio::select! {
            is_recorded = record_first_event(&self.context, version) => {
                is_recorded.then_some(()).ok_or(StreamEnd::Unrecorded)
            }
            () = self.chunks.closed() => Err(StreamEnd::Aborted),
            () = sleep_until(self.context.deadline) => Err(StreamEnd::DeadlineExceeded),
        }
    }

    fn finish_attempt(&self, mut attempt: StreamAttempt) {
        let context = &self.context;
        record_decode_speed(context, &attempt.instance, attempt.started);
        record_response_end(context, attempt.unframed_end(), true);
        release_connection(&context.shared, attempt.connection, &attempt.metadata);
    }

    fn record_answer_time(&self) {
        let total = self.context.started.elapsed();
        let first = self.timing.first.unwrap_or_default();
        let run = total.saturating_sub(first);
        let sample = AnswerSample { total, run };
        record_answer(&self.context.shared, &self.context.rule, sample);
    }

    /// Logs that nobody reads the stream any more.
    fn log_abort(&self) {
        if self.context.shared.is_cutting() {
            self.log_end("cut by the end of the grace period", true);
        } else {
            self.log_end("caller disconnected", false);
        }
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
