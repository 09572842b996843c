//! Carries out what the scheduler decides.

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
use crate::run::run_job;
use crate::state::{
    SideShared,
    SideState, //
};

/// Advice to callers whose work would miss its target.
const RETRY_AFTER_MS: u32 = 2_000;

impl SideShared {
    /// Takes a request from an entry, or refuses it at once.
    pub(crate) fn submit(self: &Arc<Self>, run: GenerateRequest, link: u64, sender: LinkSender) {
        let now = Instant::now();
        let mut state = self.lock();
        let key = JobKey(state.next_job);
        state.next_job += 1;
        let spec = spec_of(now, key, &run);
        let job = SideJob::new(run, link, sender);
        if let Err(reason) = state.scheduler.submit(now, spec) {
            drop(state);
            self.tell_refused(&job, reason);
            return;
        }
        state.jobs.insert(key, job);
        self.pump(&mut state);
    }

    /// Ends an attempt whose answer nobody waits for.
    pub(crate) fn cancel(self: &Arc<Self>, link: u64, attempt: u64) {
        let mut state = self.lock();
        let matching = |job: &SideJob| job.link == link && job.run.attempt == attempt;
        let found = state.jobs.iter().find(|(_, job)| matching(job));
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };
        remove_job(&mut state, key);
        self.pump(&mut state);
    }

    /// Ends all attempts of a link that is gone.
    pub(crate) fn cancel_link(self: &Arc<Self>, link: u64) {
        let mut state = self.lock();
        let jobs = state.jobs.iter().filter(|(_, job)| job.link == link);
        let keys: Vec<JobKey> = jobs.map(|(key, _)| *key).collect();
        for key in keys {
            remove_job(&mut state, key);
        }
        self.pump(&mut state);
    }

    /// Starts, pauses and refuses as the scheduler says.
    pub(crate) fn pump(self: &Arc<Self>, state: &mut SideState) {
        self.refuse_quarantined(state);
        for action in state.scheduler.poll(Instant::now()) {
            match action {
                SideAction::Start(key) => self.start_job(state, key),
                SideAction::Pause(key) => self.pause_job(state, key),
                SideAction::Refuse(key, reason) => {
                    if let Some(job) = state.jobs.remove(&key) {
                        self.tell_refused(&job, reason);
                    }
                }
            }
        }
        self.metrics.jobs.set(state.jobs.len() as i64);
        self.changed.notify_waiters();
    }

    pub(crate) fn start_job(self: &Arc<Self>, state: &mut SideState, key: JobKey) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        if job.task.is_some() {
            // Its pause is not over yet.
            job.restart = true;
            return;
        }
        job.starts += 1;
        let starts = job.starts;
        let run = job.run.clone();
        let prior = job.prior.clone().freeze();
        let offset = job.offset;
        let task = tokio::spawn(run_job(self.clone(), key, starts, run, prior, offset));
        job.task = Some(task.abort_handle());
        self.metrics.started.inc();
    }

    fn pause_job(&self, state: &mut SideState, key: JobKey) {
        let Some(job) = state.jobs.get_mut(&key) else {
            return;
        };
        job.restart = false;
        match job.stream.take() {
            Some(stream) => {
                let engine = self.engine;
                tokio::spawn(async move { engine.pause(stream).await });
            }
            None => {
                job.abort();
                job.starts += 1;
                job.run.kv_handle.clear();
            }
        }
        self.metrics.paused.inc();
        let record = DecisionRecord::new(DecisionKind::Pause, "more urgent work needs its room")
            .request(hex::encode(&job.run.request))
            .class(&job.run.class);
        self.log.write(record);
    }

    pub(crate) fn tell_refused(&self, job: &SideJob, reason: RefusalReason) {
        job.refuse(reason, RETRY_AFTER_MS);
        self.metrics.refused.inc();
        let record = DecisionRecord::new(DecisionKind::Refuse, reason.as_str())
            .request(hex::encode(&job.run.request))
            .class(&job.run.class);
        self.log.write(record);
    }

    /// Tells entries that jobs which wait are not forgotten.
    pub(crate) fn keep_waiting_alive(&self) {
        let mut state = self.lock();
        let waiting = state.jobs.values_mut().filter(|job| job.task.is_none());
        waiting.for_each(|job| job.deliver(TokenCount(0), ""));
    }

    /// Refuses what waits and hands over what runs, as before a planned change.
    pub(crate) fn hand_over(self: &Arc<Self>, state: &mut SideState) {
        let keys: Vec<JobKey> = state.jobs.keys().copied().collect();
        for key in keys {
            if let Some(job) = remove_job(state, key) {
                if job.starts == 0 {
                    self.tell_refused(&job, RefusalReason::Leaving);
                } else {
                    job.end(wire::FinishCode::Interrupted, String::new());
                }
            }
        }
        self.pump(state);
    }
}

/// Takes a job out of the state and the scheduler, and stops its task.
pub(crate) fn remove_job(state: &mut SideState, key: JobKey) -> Option<SideJob> {
    let mut job = state.jobs.remove(&key)?;
    state.scheduler.remove_job(key);
    job.abort();
    Some(job)
}

fn spec_of(now: Instant, key: JobKey, run: &GenerateRequest) -> JobSpec {
    JobSpec {
        key,
        rank: ServiceRank::from_index(run.rank as usize),
        context_tokens: TokenCount(run.prompt_tokens + run.prior_tokens),
        max_output_tokens: TokenCount(run.max_tokens.saturating_sub(run.prior_tokens).max(1)),
        first_token_deadline: now + Duration::from_millis(run.first_token_ms.into()),
        gap_target: Duration::from_millis(run.token_gap_ms.into()),
        resumed: run.prior_tokens > 0,
        imports_kv_cache: !run.kv_handle.is_empty(),
        exclusive: run.isolated,
    }
}
