//! Decides beside a backend server what starts, what is paused and what is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::{
    ModelName,
    PieceCount,
    TokenCount,
    WorkAmount, //
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

/// Most jobs that wait, whatever their work.
const MAX_QUEUED_JOBS: usize = 512;
/// Chunk that an engine prefills beside its streams.
pub(crate) const MIXED_PREFILL_CHUNK: TokenCount = TokenCount(256);
/// Chunk of an engine that prefills alone.
const DEDICATED_PREFILL_CHUNK: TokenCount = TokenCount(2_048);

/// Part of the gap target that steps may take; the rest is for what prediction misses.
const GAP_TARGET_FRACTION: f64 = 0.75;
/// Factor on predicted starts when a job is admitted, so that few admitted jobs are refused later.
const ADMISSION_WAIT_FACTOR: f64 = 2.0;
/// Size of the job for which reports predict waits.
const REFERENCE_JOB_TOKENS: TokenCount = TokenCount(512);
/// Gap target of that job.
const REFERENCE_JOB_GAP_TARGET: Duration = Duration::from_secs(1);

/// What the side process is to do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SideAction {
    /// Start this job on the engine.
    Start(JobKey),
    /// Cancel this job on the engine; it waits to be resumed.
    Pause(JobKey),
    /// Tell the caller at once that this job is not run.
    Refuse(JobKey, RefusalReason),
}

#[derive(Debug, Clone)]
pub(crate) struct RunningJob {
    pub(crate) spec: JobSpec,
    pub(crate) pieces: u32,
    pub(crate) generated_tokens: u32,
    pub(crate) has_first_token: bool,
    pub(crate) started_at: Instant,
}

/// Queue, memory and stream limits of one backend server.
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
    /// A scheduler for an idle engine.
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

    /// Changes the floor shares of the ranks.
    pub fn set_minimum_shares(&mut self, minimum_shares: RankMap<f64>) {
        self.queue.set_minimum_shares(minimum_shares);
    }

    /// Takes over what the engine says of itself.
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

    /// Sets whether new jobs are taken.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.accepting = accepting;
    }

    /// Whether new jobs are taken.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// Role that is assumed for the engine.
    pub fn role(&self) -> EngineRole {
        self.role
    }

    /// Streams paused so far.
    pub fn pause_count(&self) -> u64 {
        self.pause_count
    }

    /// Jobs that run or wait.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Takes a job, or says why it is not run.
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
            return Err(RefusalReason::WouldMiss);
        }
        self.queue.push_back(spec.rank, spec);
        Ok(())
    }

    /// What to do now; call again after each submit, finish or first token.
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

    /// Counts a token of a running job.
    pub fn record_tokens(&mut self, key: JobKey, tokens: TokenCount) {
        if let Some(job) = self.running.get_mut(&key) {
            job.has_first_token = true;
            job.generated_tokens += tokens.0;
        }
    }

    /// Forgets a job that ended or was cancelled, wherever it is.
    pub fn remove_job(&mut self, key: JobKey) {
        if let Some(job) = self.running.remove(&key) {
            self.used_pieces -= job.pieces;
            return;
        }
        for rank in ServiceRank::ALL {
            self.queue.remove_matching(rank, |spec| spec.key == key);
        }
    }

    /// Load as told to entries.
    pub fn report(&self) -> LoadReport {
        let pieces = self.profile.pieces_for(REFERENCE_JOB_TOKENS).0;
        let wait = |rank| {
            WorkAmount(
                self.expected_wait(rank, pieces, REFERENCE_JOB_GAP_TARGET)
                    .as_secs_f64(),
            )
        };
        let remaining_tokens: u32 = self
            .running
            .values()
            .map(RunningJob::remaining_output_tokens)
            .sum();
        LoadReport {
            role: self.role,
            models: self.models.clone(),
            expected_wait: RankMap::from_fn(wait),
            remaining_decode: WorkAmount(f64::from(remaining_tokens) * self.profile.decode_seconds),
            requested_prefill: WorkAmount(self.requested_prefill),
            requested_decode: WorkAmount(self.requested_decode),
            running_streams: self.running.len() as u32,
            used_pieces: PieceCount(self.used_pieces),
            total_pieces: self.profile.pieces,
            accepting: self.accepting,
        }
    }

    /// Refuses those that more urgent arrivals have pushed beyond their due time.
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
            let refuse = |key| SideAction::Refuse(key, RefusalReason::WouldMiss);
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

    fn record_demand(&mut self, spec: &JobSpec) {
        let cost = CostModel::from_profile(&self.profile);
        if !spec.imports_kv_cache {
            self.requested_prefill += cost.prefill_work(spec.context_tokens).0;
        }
        if self.role.decodes() {
            self.requested_decode += cost.decode_work(spec.max_output_tokens).0;
        }
    }

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

pub(crate) fn ranks_ahead_of(rank: ServiceRank) -> impl Iterator<Item = ServiceRank> {
    ServiceRank::ALL.into_iter().take(rank.index())
}
