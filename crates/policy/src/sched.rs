//! Decides beside a backend server what starts, what is paused and what is refused.

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

/// Most jobs that wait, whatever their work.
const QUEUE_LIMIT: usize = 512;
/// Chunk that an engine prefills beside its streams.
pub(crate) const MIXED_CHUNK: TokenCount = TokenCount(256);
/// Chunk of an engine that prefills alone.
const PREFILL_CHUNK: TokenCount = TokenCount(2_048);

/// Part of the gap target that steps may take; the rest is for what prediction misses.
const GAP_MARGIN: f64 = 0.75;
/// Factor on predicted starts when a job is admitted, so that few admitted jobs are refused later.
const ADMIT_MARGIN: f64 = 2.0;
/// Size of the job for which reports predict waits.
const PROBE_TOKENS: TokenCount = TokenCount(512);
/// Gap target of that job.
const PROBE_GAP: Duration = Duration::from_secs(1);

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
    pub(crate) produced: u32,
    pub(crate) started: bool,
    pub(crate) since: Instant,
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
    pub(crate) used: u32,
    pub(crate) pauses: u64,
    pub(crate) prefill_total: f64,
    pub(crate) decode_total: f64,
}

impl SideScheduler {
    /// A scheduler for an idle engine.
    pub fn new(profile: EngineProfile, role: EngineRole, floors: RankMap<f64>) -> Self {
        Self {
            profile,
            role,
            models: Vec::new(),
            accepting: true,
            queue: RankQueue::new(floors),
            running: BTreeMap::new(),
            used: 0,
            pauses: 0,
            prefill_total: 0.0,
            decode_total: 0.0,
        }
    }

    /// Changes the floor shares of the ranks.
    pub fn set_floors(&mut self, floors: RankMap<f64>) {
        self.queue.set_floors(floors);
    }

    /// Takes over what the engine says of itself.
    pub fn set_engine(&mut self, profile: EngineProfile, role: EngineRole, models: Vec<ModelName>) {
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
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Jobs that run or wait.
    pub fn jobs(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Takes a job, or says why it is not run.
    pub fn submit(&mut self, now: Instant, spec: JobSpec) -> Result<(), RefusalReason> {
        if !self.accepting {
            return Err(RefusalReason::Leaving);
        }
        self.count_asked(&spec);
        if self.pieces_of(&spec) > self.profile.pieces.0 {
            return Err(RefusalReason::TooLarge);
        }
        if spec.resumed {
            self.queue.push_front(spec.rank, spec);
            return Ok(());
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return Err(RefusalReason::QueueFull);
        }
        let wait = self.predicted_wait(spec.rank, self.pieces_of(&spec), spec.gap);
        let start = wait + self.prefill_time(&spec);
        if now + start.mul_f64(ADMIT_MARGIN) > spec.due {
            return Err(RefusalReason::WouldMissTarget);
        }
        self.queue.push_back(spec.rank, spec);
        Ok(())
    }

    /// What to do now; call again after each submit, finish or first token.
    pub fn poll(&mut self, now: Instant) -> Vec<SideAction> {
        let mut actions = self.shed(now);
        while let Some(rank) = self.queue.next_rank() {
            let Some(spec) = self.queue.front(rank).copied() else {
                break;
            };
            if self.has_room(&spec) {
                self.queue.pop(rank);
                self.start(now, spec);
                actions.push(SideAction::Start(spec.key));
                continue;
            }
            let Some(victims) = self.choose_victims(&spec) else {
                break;
            };
            for victim in victims {
                self.pause(victim);
                actions.push(SideAction::Pause(victim));
            }
        }
        actions
    }

    /// Counts a token of a running job.
    pub fn progress(&mut self, key: JobKey, tokens: TokenCount) {
        if let Some(job) = self.running.get_mut(&key) {
            job.started = true;
            job.produced += tokens.0;
        }
    }

    /// Forgets a job that ended or was cancelled, wherever it is.
    pub fn finish(&mut self, key: JobKey) {
        if let Some(job) = self.running.remove(&key) {
            self.used -= job.pieces;
            return;
        }
        for rank in ServiceRank::ALL {
            self.queue.remove_where(rank, |spec| spec.key == key);
        }
    }

    /// Load as told to entries.
    pub fn report(&self) -> LoadReport {
        let pieces = self.profile.pieces_for(PROBE_TOKENS).0;
        let wait = |rank| EngineSeconds(self.predicted_wait(rank, pieces, PROBE_GAP).as_secs_f64());
        let left: u32 = self.running.values().map(RunningJob::output_left).sum();
        LoadReport {
            role: self.role,
            models: self.models.clone(),
            wait: RankMap::from_fn(wait),
            running: EngineSeconds(f64::from(left) * self.profile.decode_seconds),
            prefill_total: EngineSeconds(self.prefill_total),
            decode_total: EngineSeconds(self.decode_total),
            streams: self.running.len() as u32,
            used: PieceCount(self.used),
            pieces: self.profile.pieces,
            accepting: self.accepting,
        }
    }

    /// Refuses those that more urgent arrivals have pushed beyond their due time.
    fn shed(&mut self, now: Instant) -> Vec<SideAction> {
        let mut actions = Vec::new();
        let mut before = Duration::ZERO;
        for rank in ServiceRank::ALL {
            let mut own = Duration::ZERO;
            let mut late = Vec::new();
            for spec in self.queue.line(rank) {
                let prefill = self.prefill_time(spec);
                let wait = self.line_wait(rank, before, own);
                if !spec.resumed && now + wait + prefill > spec.due {
                    late.push(spec.key);
                    continue;
                }
                own += prefill;
            }
            if !late.is_empty() {
                self.queue
                    .remove_where(rank, |spec| late.contains(&spec.key));
            }
            let refuse = |key| SideAction::Refuse(key, RefusalReason::WouldMissTarget);
            actions.extend(late.into_iter().map(refuse));
            before += own;
        }
        actions
    }

    fn start(&mut self, now: Instant, spec: JobSpec) {
        let pieces = self.pieces_of(&spec);
        self.used += pieces;
        let work = self.work_of(&spec);
        self.queue.count_served(now, spec.rank, work);
        let job = RunningJob {
            spec,
            pieces,
            produced: 0,
            started: false,
            since: now,
        };
        self.running.insert(spec.key, job);
    }

    pub(crate) fn stream_limit(&self, gap: Duration) -> usize {
        let gaps = self.running.values().map(|job| job.spec.gap);
        let tightest = gaps.chain([gap]).min().unwrap_or(gap);
        let chunk = match self.role {
            EngineRole::Mixed => MIXED_CHUNK,
            EngineRole::Prefill => return 64,
            EngineRole::Decode => TokenCount(0),
        };
        self.profile
            .stream_limit(tightest.mul_f64(GAP_MARGIN), chunk)
    }

    pub(crate) fn pieces_of(&self, spec: &JobSpec) -> u32 {
        let output = if self.role.generates() {
            spec.output.0
        } else {
            1
        };
        self.profile
            .pieces_for(TokenCount(spec.context.0 + output))
            .0
    }

    pub(crate) fn prefill_time(&self, spec: &JobSpec) -> Duration {
        if spec.imported {
            let seconds = f64::from(spec.context.0) * self.profile.import_seconds;
            return Duration::from_secs_f64(seconds);
        }
        let (chunk, streams) = match self.role {
            EngineRole::Prefill => (PREFILL_CHUNK, 0),
            _ => (MIXED_CHUNK, self.running.len()),
        };
        let step = self.profile.step_time(chunk, streams);
        step.mul_f64(f64::from(spec.context.0) / f64::from(chunk.0))
    }

    fn count_asked(&mut self, spec: &JobSpec) {
        let cost = CostModel::from_profile(&self.profile);
        if !spec.imported {
            self.prefill_total += cost.prefill_work(spec.context).0;
        }
        if self.role.generates() {
            self.decode_total += cost.decode_work(spec.output).0;
        }
    }

    fn work_of(&self, spec: &JobSpec) -> f64 {
        let prefill = f64::from(spec.context.0) * self.profile.prefill_seconds;
        let decode = f64::from(spec.output.0) * self.profile.decode_seconds;
        prefill + decode
    }
}

impl RunningJob {
    pub(crate) fn output_left(&self) -> u32 {
        self.spec.output.0.saturating_sub(self.produced)
    }
}

pub(crate) fn ranks_before(rank: ServiceRank) -> impl Iterator<Item = ServiceRank> {
    ServiceRank::ALL.into_iter().take(rank.index())
}
