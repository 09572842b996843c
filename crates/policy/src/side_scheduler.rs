//! Scheduler of one engine: decides which jobs start, pause or are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    EngineSeconds,
    ModelName,
    PieceCount,
    TokenCount, //
};

use crate::{
    CostModel,
    EngineProfile,
    EngineRole,
    JobKey,
    JobSpec,
    LoadReport,
    RankMap,
    RankQueue,
    RefusalReason,
    ServiceRank, //
};

mod pausing;

/// Maximum number of queued jobs, whatever their size; resumed jobs may exceed the limit.
const MAX_QUEUED_JOBS: usize = 512;
/// Prompt tokens that a mixed engine prefills in one step, combined with the decode of its streams.
pub(crate) const MIXED_PREFILL_CHUNK: TokenCount = TokenCount(256);
/// Prompt tokens that a prefill engine processes in one step.
const DEDICATED_PREFILL_CHUNK: TokenCount = TokenCount(2_048);

/// Fraction of the gap target that the estimated step time may use; the rest allows for estimation
/// errors.
const GAP_TARGET_FRACTION: f64 = 0.75;
/// Factor on the expected time until the first token when a job is admitted, so that few admitted
/// jobs are refused later.
const ADMISSION_WAIT_FACTOR: f64 = 2.0;
/// Size of the hypothetical job for which load reports estimate the wait.
const PROBE_TOKENS: TokenCount = TokenCount(512);
/// Gap target of that hypothetical job.
const PROBE_GAP: Duration = Duration::from_secs(1);

/// Action that the side process must carry out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SideAction {
    /// Start a job on the engine.
    Start(JobKey),
    /// Cancel a job on the engine; the job stays queued and resumes later.
    Pause(JobKey),
    /// Refuse a job at once, without running it.
    Refuse(JobKey, RefusalReason),
}

/// Job that runs on the engine.
#[derive(Debug, Clone)]
pub(crate) struct RunningJob {
    pub(crate) spec: JobSpec,
    pub(crate) pieces: u32,
    pub(crate) generated_tokens: u32,
    pub(crate) has_first_token: bool,
    pub(crate) started_at: Instant,
}

/// Schedules the jobs of one engine within its KV cache memory and stream limit.
#[derive(Debug)]
pub struct SideScheduler {
    pub(crate) profile: EngineProfile,
    pub(crate) role: EngineRole,
    pub(crate) models: Vec<ModelName>,
    pub(crate) accepting: bool,
    pub(crate) queue: RankQueue<JobSpec>,
    pub(crate) running: BTreeMap<JobKey, RunningJob>,
    pub(crate) used_pieces: u32,
    pub(crate) pause_count: u64,
    pub(crate) requested_prefill: f64,
    pub(crate) requested_decode: f64,
}

impl SideScheduler {
    /// Creates a scheduler for an idle engine, with the minimum share of work of each rank.
    pub fn new(profile: EngineProfile, role: EngineRole, minimum_shares: RankMap<f64>) -> Self {
        Self {
            profile,
            role,
            models: Vec::new(),
            accepting: true,
            queue: RankQueue::new(minimum_shares),
            running: BTreeMap::new(),
            used_pieces: 0,
            pause_count: 0,
            requested_prefill: 0.0,
            requested_decode: 0.0,
        }
    }

    /// Sets the minimum share of work of each rank.
    pub fn set_minimum_shares(&mut self, minimum_shares: RankMap<f64>) {
        self.queue.set_minimum_shares(minimum_shares);
    }

    /// Updates the profile, role and models reported by the engine.
    pub fn update_engine(
        &mut self,
        profile: EngineProfile,
        role: EngineRole,
        models: Vec<ModelName>,
    ) {
        self.profile = profile;
        self.role = role;
        self.models = models;
    }

    /// Sets whether new jobs are accepted.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    /// Returns whether new jobs are accepted.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// Returns the role last reported by the engine, or the initial role before any report.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Returns the number of times that a stream has been paused.
    pub fn pause_count(&self) -> u64 {
        self.pause_count
    }

    /// Returns the number of running and queued jobs.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Queues a job, or returns the reason for its refusal.
    pub fn submit(&mut self, now: Instant, spec: JobSpec) -> Result<(), RefusalReason> {
        if !self.accepting {
            return Err(RefusalReason::Leaving);
        }
        self.record_demand(&spec);
        if self.required_pieces(&spec) > self.profile.pieces.0 {
            return Err(RefusalReason::TooLarge);
        }
        if spec.resumed {
            self.queue.push_front(spec.rank, spec);
            return Ok(());
        }
        if self.queue.len() >= MAX_QUEUED_JOBS {
            return Err(RefusalReason::QueueFull);
        }
        let wait = self.expected_wait(spec.rank, self.required_pieces(&spec), spec.gap_target);
        let expected_start = wait + self.prefill_time(&spec);
        if now + expected_start.mul_f64(ADMISSION_WAIT_FACTOR) > spec.first_token_deadline {
            return Err(RefusalReason::WouldMissTarget);
        }
        self.queue.push_back(spec.rank, spec);
        Ok(())
    }

    /// Returns the actions to carry out now.
    ///
    /// Must be called after each submitted or removed job and after each first token.
    pub fn poll(&mut self, now: Instant) -> Vec<SideAction> {
        let mut actions = self.refuse_late_jobs(now);
        while let Some(rank) = self.queue.next_rank() {
            let Some(spec) = self.queue.front(rank).copied() else {
                break;
            };
            if self.has_capacity(&spec) {
                self.queue.pop(rank);
                self.start_job(now, spec);
                actions.push(SideAction::Start(spec.key));
                continue;
            }
            let Some(paused) = self.choose_streams_to_pause(&spec) else {
                break;
            };
            for key in paused {
                self.pause(key);
                actions.push(SideAction::Pause(key));
            }
        }
        actions
    }

    /// Records tokens generated by a running job.
    pub fn record_tokens(&mut self, key: JobKey, tokens: TokenCount) {
        if let Some(job) = self.running.get_mut(&key) {
            job.has_first_token = true;
            job.generated_tokens += tokens.0;
        }
    }

    /// Removes a running or queued job that has ended or was cancelled.
    pub fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.running.remove(&key) {
            self.used_pieces -= job.pieces;
            return;
        }
        for rank in ServiceRank::ALL {
            self.queue.remove_matching(rank, |spec| spec.key == key);
        }
    }

    /// Returns the load report for entries.
    pub fn report(&self) -> LoadReport {
        let pieces = self.profile.pieces_for(PROBE_TOKENS).0;
        let wait = |rank| EngineSeconds(self.expected_wait(rank, pieces, PROBE_GAP).as_secs_f64());
        let remaining_tokens: u32 = self
            .running
            .values()
            .map(RunningJob::remaining_output_tokens)
            .sum();
        LoadReport {
            role: self.role,
            models: self.models.clone(),
            expected_wait: RankMap::from_fn(wait),
            remaining_decode: EngineSeconds(
                f64::from(remaining_tokens) * self.profile.decode_seconds,
            ),
            requested_prefill: EngineSeconds(self.requested_prefill),
            requested_decode: EngineSeconds(self.requested_decode),
            running_streams: self.running.len() as u32,
            used_pieces: PieceCount(self.used_pieces),
            total_pieces: self.profile.pieces,
            accepting: self.accepting,
        }
    }

    /// Refuses queued jobs that are expected to miss their deadline, for example because more
    /// urgent jobs arrived after them.
    fn refuse_late_jobs(&mut self, now: Instant) -> Vec<SideAction> {
        let mut actions = Vec::new();
        let mut ahead_time = Duration::ZERO;
        for rank in ServiceRank::ALL {
            let mut own_time = Duration::ZERO;
            let mut late_keys = Vec::new();
            for spec in self.queue.waiting(rank) {
                let prefill = self.prefill_time(spec);
                let wait = self.queue_wait(rank, ahead_time, own_time);
                if !spec.resumed && now + wait + prefill > spec.first_token_deadline {
                    late_keys.push(spec.key);
                    continue;
                }
                own_time += prefill;
            }
            if !late_keys.is_empty() {
                self.queue
                    .remove_matching(rank, |spec| late_keys.contains(&spec.key));
            }
            let refuse = |key| SideAction::Refuse(key, RefusalReason::WouldMissTarget);
            actions.extend(late_keys.into_iter().map(refuse));
            ahead_time += own_time;
        }
        actions
    }

    fn start_job(&mut self, now: Instant, spec: JobSpec) {
        let pieces = self.required_pieces(&spec);
        self.used_pieces += pieces;
        let work = self.total_work(&spec);
        self.queue.record_served_work(now, spec.rank, work);
        let job = RunningJob {
            spec,
            pieces,
            generated_tokens: 0,
            has_first_token: false,
            started_at: now,
        };
        self.running.insert(spec.key, job);
    }

    /// Returns the maximum number of running streams that keeps the tightest gap target of the
    /// running jobs and of a new one.
    pub(crate) fn stream_limit(&self, gap_target: Duration) -> usize {
        let gaps = self.running.values().map(|job| job.spec.gap_target);
        let tightest = gaps.chain([gap_target]).min().unwrap_or(gap_target);
        let chunk = match self.role {
            EngineRole::Mixed => MIXED_PREFILL_CHUNK,
            EngineRole::Prefill => return 64,
            EngineRole::Decode => TokenCount(0),
        };
        self.profile
            .stream_limit(tightest.mul_f64(GAP_TARGET_FRACTION), chunk)
    }

    /// Returns the number of KV cache pieces for the context and the output of a job.
    pub(crate) fn required_pieces(&self, spec: &JobSpec) -> u32 {
        let output = if self.role.decodes() {
            spec.max_output_tokens.0
        } else {
            1
        };
        self.profile
            .pieces_for(TokenCount(spec.context_tokens.0 + output))
            .0
    }

    /// Estimates the time to prefill or import the context of a job.
    pub(crate) fn prefill_time(&self, spec: &JobSpec) -> Duration {
        if spec.imports_kv_cache {
            let seconds = f64::from(spec.context_tokens.0) * self.profile.import_seconds;
            return Duration::from_secs_f64(seconds);
        }
        let (chunk, streams) = match self.role {
            EngineRole::Prefill => (DEDICATED_PREFILL_CHUNK, 0),
            _ => (MIXED_PREFILL_CHUNK, self.running.len()),
        };
        let step = self.profile.step_time(chunk, streams);
        step.mul_f64(f64::from(spec.context_tokens.0) / f64::from(chunk.0))
    }

    /// Adds the work of a submitted job to the totals of requested work.
    fn record_demand(&mut self, spec: &JobSpec) {
        let cost = CostModel::from_profile(&self.profile);
        if !spec.imports_kv_cache {
            self.requested_prefill += cost.prefill_work(spec.context_tokens).0;
        }
        if self.role.decodes() {
            self.requested_decode += cost.decode_work(spec.max_output_tokens).0;
        }
    }

    /// Returns the prefill and decode work of a job, in seconds.
    fn total_work(&self, spec: &JobSpec) -> f64 {
        let prefill = f64::from(spec.context_tokens.0) * self.profile.prefill_seconds;
        let decode = f64::from(spec.max_output_tokens.0) * self.profile.decode_seconds;
        prefill + decode
    }
}

impl RunningJob {
    pub(crate) fn remaining_output_tokens(&self) -> u32 {
        self.spec
            .max_output_tokens
            .0
            .saturating_sub(self.generated_tokens)
    }
}

/// Returns the ranks that are more urgent than a rank.
pub(crate) fn ranks_ahead_of(rank: ServiceRank) -> impl Iterator<Item = ServiceRank> {
    ServiceRank::ALL.into_iter().take(rank.index())
}
