//! Runs one start of a job on the engine.

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
use wire::{
    FinishCode,
    GenerateRequest, //
};

use crate::dispatch::remove_job;
use crate::engine_client::{
    EngineCall,
    EngineEvent, //
};
use crate::job::SideJob;
use crate::sse::EventReader;
use crate::state::{
    SideShared,
    SideState, //
};

/// Gaps between tokens after which a stream counts as silent.
const SILENT_GAPS: u32 = 20;
/// Least and greatest time without a token after which a stream counts as silent.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
const GREATEST_SILENCE: Duration = Duration::from_secs(5);
/// Time beyond the start target that the engine gets for the first token.
const START_SLACK: Duration = Duration::from_secs(1);
const RETRY_AFTER_MS: u32 = 1_000;

/// How one start of a job ended, as far as the engine told.
enum RunEnd {
    Finished(FinishCode, String),
    /// It was paused; the handle of its KV cache.
    Paused(String),
    /// The engine did not take it.
    NotRun,
    /// The stream broke.
    Broken,
    /// Nothing came for longer than the class's target allows.
    Silent,
}

/// Silence limits of one run, by the targets of its class.
#[derive(Debug, Clone, Copy)]
struct SilenceLimits {
    start: Duration,
    gap: Duration,
}

impl SilenceLimits {
    fn of_run(run: &GenerateRequest) -> Self {
        let gap = Duration::from_millis(run.token_gap_ms.into()) * SILENT_GAPS;
        let start = Duration::from_millis(run.first_token_ms.into()) + START_SLACK;
        Self {
            start,
            gap: gap.clamp(LEAST_SILENCE, GREATEST_SILENCE),
        }
    }
}

/// Opens a stream on the engine and passes its tokens on.
pub(crate) async fn run_job(
    shared: Arc<SideShared>,
    key: JobKey,
    starts: u64,
    run: GenerateRequest,
    prior: Bytes,
    offset: u32,
) {
    let prompt = String::from_utf8_lossy(&run.prompt);
    let prior = String::from_utf8_lossy(&prior);
    let call = EngineCall {
        model: &run.model,
        prompt: &prompt,
        prior: &prior,
        prompt_tokens: run.prompt_tokens,
        offset,
        max_tokens: run.max_tokens,
        priority: run.rank,
        kv_handle: &run.kv_handle,
        stream: true,
    };
    let end = match shared.engine.open(&call).await {
        Ok(reply) if reply.status() == StatusCode::OK => {
            read_stream(
                &shared,
                key,
                starts,
                reply.into_body(),
                SilenceLimits::of_run(&run),
            )
            .await
        }
        Ok(_) => RunEnd::NotRun,
        Err(error) if error.is_unsent() => RunEnd::NotRun,
        Err(_) => RunEnd::Broken,
    };
    shared.end_start(key, starts, end);
}

async fn read_stream(
    shared: &Arc<SideShared>,
    key: JobKey,
    starts: u64,
    mut body: Incoming,
    limits: SilenceLimits,
) -> RunEnd {
    let mut reader = EventReader::default();
    let mut silence = limits.start;
    loop {
        let Ok(next) = timeout(silence, body.frame()).await else {
            return RunEnd::Silent;
        };
        let Some(Ok(frame)) = next else {
            return RunEnd::Broken;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if !reader.push(data) {
            return RunEnd::Broken;
        }
        while let Some(event) = reader.next_event() {
            let Ok(event) = serde_json::from_slice::<EngineEvent>(&event) else {
                return RunEnd::Broken;
            };
            if let Some(stream) = event.stream {
                shared.note_stream(key, starts, stream);
            }
            if event.tokens > 0 {
                silence = limits.gap;
                shared.pass_tokens(key, starts, &event);
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
    fn note_stream(&self, key: JobKey, starts: u64, stream: u64) {
        let mut state = self.lock();
        if let Some(job) = state.jobs.get_mut(&key)
            && job.starts == starts
        {
            job.stream = Some(stream);
        }
    }

    /// Keeps a paused job for its next start.
    fn end_pause(self: &Arc<Self>, state: &mut SideState, key: JobKey, handle: String) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        job.task = None;
        job.run.kv_handle = handle;
        if std::mem::take(&mut job.restart) {
            self.start_job(state, key);
        }
    }

    fn pass_tokens(self: &Arc<Self>, key: JobKey, starts: u64, event: &EngineEvent) {
        let mut state = self.lock();
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        if job.starts != starts {
            return;
        }
        let first = job.offset == job.run.prior_tokens;
        let tokens = TokenCount(event.tokens);
        job.deliver(tokens, &event.text);
        state.scheduler.record_tokens(key, tokens);
        if first {
            self.pump(&mut state);
        }
    }

    fn end_start(self: &Arc<Self>, key: JobKey, starts: u64, end: RunEnd) {
        let mut state = self.lock();
        if state.jobs.get(&key).is_none_or(|job| job.starts != starts) {
            return;
        }
        if let RunEnd::Paused(handle) = end {
            self.end_pause(&mut state, key, handle);
        } else if let Some(job) = remove_job(&mut state, key) {
            self.tell_end(&mut state, &job, end);
        }
        self.pump(&mut state);
    }

    fn tell_end(&self, state: &mut SideState, job: &SideJob, end: RunEnd) {
        let unchanged = job.offset == job.run.prior_tokens;
        match end {
            RunEnd::Finished(code, handle) => job.end(code, handle),
            RunEnd::NotRun if unchanged => job.refuse(RefusalReason::EngineDown, RETRY_AFTER_MS),
            RunEnd::Broken => {
                self.note_crash(state, job);
                job.end(FinishCode::Crashed, String::new());
            }
            RunEnd::NotRun | RunEnd::Silent | RunEnd::Paused(_) => {
                job.end(FinishCode::Interrupted, String::new());
            }
        }
    }
}
