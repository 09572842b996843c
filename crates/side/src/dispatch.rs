//! Submission and cancellation of jobs, and execution of the scheduler's decisions.

use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    JobKey,
    JobSpec,
    RefusalReason,
    ServiceRank,
    SideAction, //
};
use tokio::time::Instant;
use units::TokenCount;
use wire::{
    GenerateRequest,
    LinkSender, //
};

use crate::job::SideJob;
use crate::job_run::run_job;
use crate::state::{
    SideShared,
    SideState, //
};

/// Retry delay advised in refusals, such as for a request that would miss its target.
const REFUSAL_RETRY_AFTER_MS: u32 = 2_000;

impl SideShared {
    /// Queues a request from an entry, or refuses the request immediately.
    pub(crate) fn submit(
        self: &Arc<Self>,
        request: GenerateRequest,
        link_id: u64,
        sender: LinkSender,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        let key = JobKey(state.next_job);
        state.next_job += 1;
        let spec = job_spec(now, key, &request);
        let job = SideJob::new(request, link_id, sender);
        if let Err(reason) = state.scheduler.submit(now, spec) {
            drop(state);
            self.refuse_job(&job, reason);
            return;
        }
        state.jobs.insert(key, job);
        self.run_scheduler(&mut state);
    }

    /// Cancels an attempt whose response is no longer needed.
    pub(crate) fn cancel_attempt(self: &Arc<Self>, link_id: u64, attempt: u64) {
        let mut state = self.lock();
        let matching = |job: &SideJob| job.link_id == link_id && job.request.attempt == attempt;
        let found = state.jobs.iter().find(|(_, job)| matching(job));
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };
        remove_job(&mut state, key);
        self.run_scheduler(&mut state);
    }

    /// Cancels all attempts of a closed link.
    pub(crate) fn cancel_link(self: &Arc<Self>, link_id: u64) {
        let mut state = self.lock();
        let jobs = state.jobs.iter().filter(|(_, job)| job.link_id == link_id);
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            remove_job(&mut state, key);
        }
        self.run_scheduler(&mut state);
    }

    /// Polls the scheduler, and starts, pauses and refuses jobs as it decides.
    pub(crate) fn run_scheduler(self: &Arc<Self>, state: &mut SideState) {
        self.refuse_quarantined_jobs(state);
        for action in state.scheduler.poll(Instant::now()) {
            match action {
                SideAction::Start(key) => self.start_job(state, key),
                SideAction::Pause(key) => self.pause_job(state, key),
                SideAction::Refuse(key, reason) => {
                    if let Some(job) = state.jobs.remove(&key) {
                        self.refuse_job(&job, reason);
                    }
                }
            }
        }
        self.metrics.jobs.set(state.jobs.len() as i64);
        self.work_changed.notify_waiters();
    }

    /// Starts a run of a job on the engine, or defers it until a pause in progress completes.
    pub(crate) fn start_job(self: &Arc<Self>, state: &mut SideState, key: JobKey) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        if job.task.is_some() {
            // The engine has not completed the job's pause yet.
            job.restart_after_pause = true;
            return;
        }
        job.run_number += 1;
        let run_number = job.run_number;
        let request = job.request.clone();
        let output = job.output.clone().freeze();
        let offset = job.output_tokens;
        let task = tokio::spawn(run_job(
            self.clone(),
            key,
            run_number,
            request,
            output,
            offset,
        ));
        job.task = Some(task.abort_handle());
        self.metrics.started.inc();
    }

    /// Pauses a job on the engine, or aborts its run if the engine has not reported a stream yet.
    fn pause_job(&self, state: &mut SideState, key: JobKey) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        job.restart_after_pause = false;
        match job.engine_stream_id.take() {
            Some(stream) => {
                let engine = self.engine;
                tokio::spawn(async move { engine.pause_stream(stream).await });
            }
            None => {
                job.abort_task();
                job.run_number += 1;
                job.request.kv_handle.clear();
            }
        }
        self.metrics.paused.inc();
        let record = DecisionRecord::new(
            DecisionKind::Pause,
            "paused to free engine capacity for a more urgent request",
        )
        .request(hex::encode(&job.request.request))
        .class(&job.request.class);
        self.log.write(record);
    }

    /// Sends a refusal of a job to its entry, and counts and logs it.
    pub(crate) fn refuse_job(&self, job: &SideJob, reason: RefusalReason) {
        job.refuse(reason, REFUSAL_RETRY_AFTER_MS);
        self.metrics.refused.inc();
        let record = DecisionRecord::new(DecisionKind::Refuse, reason.as_str())
            .request(hex::encode(&job.request.request))
            .class(&job.request.class);
        self.log.write(record);
    }

    /// Sends an empty chunk for every waiting job, as a liveness signal to its entry.
    pub(crate) fn signal_waiting_jobs(&self) {
        let mut state = self.lock();
        let waiting = state.jobs.values_mut().filter(|job| job.task.is_none());
        waiting.for_each(|job| job.send_tokens(TokenCount(0), ""));
    }

    /// Removes all jobs before a shutdown or role change.
    ///
    /// Refuses the jobs that never ran and interrupts the others, which entries resume elsewhere.
    pub(crate) fn evict_jobs(self: &Arc<Self>, state: &mut SideState) {
        let keys: Vec<JobKey> = state.jobs.keys().copied().collect();
        for key in keys {
            if let Some(job) = remove_job(state, key) {
                if job.run_number == 0 {
                    self.refuse_job(&job, RefusalReason::Leaving);
                } else {
                    job.send_end(wire::FinishCode::Interrupted, String::new());
                }
            }
        }
        self.run_scheduler(state);
    }
}

/// Removes a job from the state and the scheduler, and aborts its run.
pub(crate) fn remove_job(state: &mut SideState, key: JobKey) -> Option<SideJob> {
    let mut job = state.jobs.remove(&key)?;
    state.scheduler.remove_job(key);
    job.abort_task();
    Some(job)
}

/// Returns the scheduler's description of a request.
fn job_spec(now: Instant, key: JobKey, request: &GenerateRequest) -> JobSpec {
    JobSpec {
        key,
        rank: ServiceRank::from_index(request.rank as usize),
        context_tokens: TokenCount(request.prompt_tokens + request.prior_tokens),
        max_output_tokens: TokenCount(
            request
                .max_tokens
                .saturating_sub(request.prior_tokens)
                .max(1),
        ),
        first_token_deadline: now + Duration::from_millis(request.first_token_ms.into()),
        gap_target: Duration::from_millis(request.token_gap_ms.into()),
        resumed: request.prior_tokens > 0,
        imports_kv_cache: !request.kv_handle.is_empty(),
        exclusive: request.isolated,
    }
}
