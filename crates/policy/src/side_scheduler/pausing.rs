//! Capacity check for a job, and selection of running streams to pause for a more urgent job.

use std::time::Duration;

use super::{
    RunningJob,
    SideScheduler, //
};
use crate::{
    JobKey,
    JobSpec,
    ServiceRank, //
};

/// Pending prefill time on the engine from which further jobs stay in the queue, where they are
/// served by rank.
const MAX_PENDING_PREFILL: Duration = Duration::from_millis(120);
/// Most urgent rank whose streams may be paused; the gap targets of more urgent ranks are too short
/// for a pause.
const FIRST_PAUSABLE_RANK: ServiceRank = ServiceRank::Patient;

impl SideScheduler {
    /// Moves a running stream to the front of its rank's queue.
    pub(super) fn pause(&mut self, key: JobKey) {
        let Some(job) = self.running.remove(&key) else {
            return;
        };
        self.used_pieces -= job.pieces;
        self.pause_count += 1;
        let mut spec = job.spec;
        spec.context_tokens.0 += job.generated_tokens;
        spec.max_output_tokens.0 = job.remaining_output_tokens().max(1);
        spec.resumed = true;
        spec.imports_kv_cache = true;
        self.queue.push_front(spec.rank, spec);
    }

    /// Returns whether a job can start in addition to the running jobs.
    pub(super) fn has_capacity(&self, spec: &JobSpec) -> bool {
        let pieces = self.required_pieces(spec);
        let fits_memory = self.used_pieces + pieces <= self.profile.pieces.0;
        let fits_streams = self.running.len() < self.stream_limit(spec.gap_target);
        let exclusive = self.running.values().any(|job| job.spec.exclusive) || spec.exclusive;
        let allows_exclusive = !exclusive || self.running.is_empty();
        fits_memory && fits_streams && allows_exclusive && self.has_prefill_capacity()
    }

    /// Returns whether the prefill pending on the engine is below [`MAX_PENDING_PREFILL`].
    fn has_prefill_capacity(&self) -> bool {
        let pending = self.running.values().filter(|job| !job.has_first_token);
        let ahead: Duration = pending.map(|job| self.prefill_time(&job.spec)).sum();
        ahead < MAX_PENDING_PREFILL
    }

    /// Selects less urgent streams whose pause lets a job start: the least urgent first and, within
    /// a rank, the one started last. Returns `None` if no pause can help.
    pub(super) fn choose_streams_to_pause(&self, spec: &JobSpec) -> Option<Vec<JobKey>> {
        if spec.exclusive || !self.has_prefill_capacity() {
            return None;
        }
        let mut pausable: Vec<&RunningJob> = self
            .running
            .values()
            .filter(|job| self.is_pausable(job, spec.rank))
            .collect();
        pausable.sort_by_key(|job| {
            (
                std::cmp::Reverse(job.spec.rank),
                std::cmp::Reverse(job.started_at),
            )
        });
        let mut free_pieces = self.profile.pieces.0 - self.used_pieces;
        let mut free_streams = self
            .stream_limit(spec.gap_target)
            .saturating_sub(self.running.len());
        let needed = self.required_pieces(spec);
        let mut paused = Vec::new();
        for job in pausable {
            if needed <= free_pieces && free_streams > 0 {
                break;
            }
            free_pieces += job.pieces;
            free_streams += 1;
            paused.push(job.spec.key);
        }
        let helps = needed <= free_pieces && free_streams > 0 && !paused.is_empty();
        helps.then_some(paused)
    }

    /// Returns whether a stream may be paused for a more urgent rank, which requires that the
    /// stream's own rank keeps its minimum share of KV cache memory.
    pub(crate) fn is_pausable(&self, job: &RunningJob, rank: ServiceRank) -> bool {
        if job.spec.rank <= rank || job.spec.rank < FIRST_PAUSABLE_RANK || job.spec.exclusive {
            return false;
        }
        let same_rank = self
            .running
            .values()
            .filter(|other| other.spec.rank == job.spec.rank);
        let held_pieces: u32 = same_rank.map(|other| other.pieces).sum();
        let minimum_pieces =
            self.queue.minimum_share(job.spec.rank) * f64::from(self.profile.pieces.0);
        f64::from(held_pieces.saturating_sub(job.pieces)) >= minimum_pieces
    }
}
