//! One run of a job on the engine, from the request to the end of its stream.
//!
//! A job that is paused and resumed has several runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use policy::{
    JobKey,
    RefusalReason, //
};
use tokio::time::timeout;
use units::TokenCount;
use web::is_malformed;
use wire::{
    FinishCode,
    GenerateRequest, //
};

use crate::dispatch::remove_job;
use crate::engine_client::{
    CompletionRequest,
    EngineEvent, //
};
use crate::job::SideJob;
use crate::sse::EventReader;
use crate::state::{
    SideShared,
    SideState, //
};

/// Token timeout as a multiple of the request's target for the gap between tokens.
const TIMEOUT_TOKEN_GAPS: u32 = 20;
/// Lower bound of the token timeout.
const MIN_TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper bound of the token timeout.
const MAX_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time beyond the first token target after which the run times out.
const FIRST_TOKEN_SLACK: Duration = Duration::from_secs(1);
/// Retry delay advised when the engine did not start a run.
const RETRY_AFTER_MS: u32 = 1_000;

/// How a run ended, as observed from the stream.
enum RunEnd {
    /// The engine ended the stream, with the handle of an exported KV cache if any.
    Finished(FinishCode, String),
    /// The engine paused the stream and exported its KV cache under this handle.
    Paused(String),
    /// The engine was unreachable or rejected the request.
    NotStarted,
    /// The connection broke.
    ConnectionBroken,
    /// The engine sent bytes that are no events.
    Malformed,
    /// Nothing arrived within the token timeout.
    TimedOut,
}

/// Timeouts of one run, derived from the latency targets of the request.
#[derive(Debug, Clone, Copy)]
struct TokenTimeouts {
    /// Longest time without data before the first token.
    first_token: Duration,
    /// Longest time without data after the first token.
    next_token: Duration,
}

impl TokenTimeouts {
    fn for_request(request: &GenerateRequest) -> Self {
        let next_token = Duration::from_millis(request.token_gap_ms.into()) * TIMEOUT_TOKEN_GAPS;
        let first_token = Duration::from_millis(request.first_token_ms.into()) + FIRST_TOKEN_SLACK;
        Self {
            first_token,
            next_token: next_token.clamp(MIN_TOKEN_TIMEOUT, MAX_TOKEN_TIMEOUT),
        }
    }
}

/// Opens a stream on the engine and forwards its tokens to the entry.
pub(crate) async fn run_job(
    shared: Arc<SideShared>,
    key: JobKey,
    run_number: u64,
    request: GenerateRequest,
    output: Bytes,
    offset: u32,
) {
    let prompt = String::from_utf8_lossy(&request.prompt);
    let output = String::from_utf8_lossy(&output);
    let completion = CompletionRequest {
        model: &request.model,
        prompt: &prompt,
        prior: &output,
        prompt_tokens: request.prompt_tokens,
        offset,
        max_tokens: request.max_tokens,
        priority: request.rank,
        kv_handle: &request.kv_handle,
        stream: true,
    };
    let run_end = match shared.engine.open_completion(&completion).await {
        Ok(response) if response.status() == StatusCode::OK => {
            forward_stream(
                &shared,
                key,
                run_number,
                response.into_body(),
                TokenTimeouts::for_request(&request),
            )
            .await
        }
        Ok(_) => RunEnd::NotStarted,
        Err(error) if error.is_unsent() => RunEnd::NotStarted,
        Err(error) if error.is_malformed() => RunEnd::Malformed,
        Err(_) => RunEnd::ConnectionBroken,
    };
    shared.finish_run(key, run_number, run_end);
}

/// Forwards the events of a stream until it ends, breaks or times out.
async fn forward_stream(
    shared: &Arc<SideShared>,
    key: JobKey,
    run_number: u64,
    mut body: Incoming,
    timeouts: TokenTimeouts,
) -> RunEnd {
    let mut reader = EventReader::default();
    let mut token_timeout = timeouts.first_token;
    loop {
        let Ok(next) = timeout(token_timeout, body.frame()).await else {
            return RunEnd::TimedOut;
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(error)) if is_malformed(&error) => return RunEnd::Malformed,
            _ => return RunEnd::ConnectionBroken,
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !reader.push(data) {
            return RunEnd::Malformed;
        }
        while let Some(event) = reader.next_event() {
            let Ok(event) = serde_json::from_slice::<EngineEvent>(&event) else {
                return RunEnd::Malformed;
            };
            if let Some(stream) = event.stream {
                shared.record_stream_id(key, run_number, stream);
            }
            if event.tokens > 0 {
                token_timeout = timeouts.next_token;
                shared.forward_tokens(key, run_number, &event);
            }
            if event.finish_reason.as_deref() == Some("paused") {
                return RunEnd::Paused(event.kv_handle);
            }
            if let Some(reason) = event.finish_reason {
                return RunEnd::Finished(finish_code(&reason), event.kv_handle);
            }
        }
    }
}

fn finish_code(reason: &str) -> FinishCode {
    match reason {
        "length" => FinishCode::Length,
        "handoff" => FinishCode::Handoff,
        "interrupted" => FinishCode::Interrupted,
        _ => FinishCode::Stop,
    }
}

impl SideShared {
    fn record_stream_id(&self, key: JobKey, run_number: u64, stream: u64) {
        let mut state = self.lock();
        if let Some(job) = state.jobs.get_mut(&key)
            && job.run_number == run_number
        {
            job.engine_stream_id = Some(stream);
        }
    }

    /// Stores the KV cache handle of a paused job, and restarts the job if a start was deferred
    /// until the end of the pause.
    fn complete_pause(self: &Arc<Self>, state: &mut SideState, key: JobKey, kv_handle: String) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        job.task = None;
        job.request.kv_handle = kv_handle;
        if std::mem::take(&mut job.restart_after_pause) {
            self.start_job(state, key);
        }
    }

    /// Sends tokens to the entry, and reschedules after the first ones.
    fn forward_tokens(self: &Arc<Self>, key: JobKey, run_number: u64, event: &EngineEvent) {
        let mut state = self.lock();
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        if job.run_number != run_number {
            return;
        }
        let is_first_token = job.output_tokens == job.request.prior_tokens;
        let tokens = TokenCount(event.tokens);
        job.send_tokens(tokens, &event.text);
        state.scheduler.record_tokens(key, tokens);
        if is_first_token {
            self.run_scheduler(&mut state);
        }
    }

    /// Ends the current run of a job; the job stays queued if it was paused.
    fn finish_run(self: &Arc<Self>, key: JobKey, run_number: u64, run_end: RunEnd) {
        let mut state = self.lock();
        if state
            .jobs
            .get(&key)
            .is_none_or(|job| job.run_number != run_number)
        {
            return;
        }
        if let RunEnd::Paused(kv_handle) = run_end {
            self.complete_pause(&mut state, key, kv_handle);
        } else if let Some(job) = remove_job(&mut state, key) {
            self.report_end(&mut state, &job, run_end);
        }
        self.run_scheduler(&mut state);
    }

    /// Sends the end of a removed job to its entry.
    fn report_end(&self, state: &mut SideState, job: &SideJob, run_end: RunEnd) {
        let is_empty = job.output_tokens == job.request.prior_tokens;
        match run_end {
            RunEnd::Finished(code, kv_handle) => job.send_end(code, kv_handle),
            RunEnd::NotStarted if is_empty => job.refuse(RefusalReason::EngineDown, RETRY_AFTER_MS),
            RunEnd::ConnectionBroken => {
                self.record_engine_crash(state, job);
                job.send_end(FinishCode::Crashed, String::new());
            }
            RunEnd::NotStarted | RunEnd::Malformed | RunEnd::TimedOut | RunEnd::Paused(_) => {
                job.send_end(FinishCode::Interrupted, String::new());
            }
        }
    }
}
