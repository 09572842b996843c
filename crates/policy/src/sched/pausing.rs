//! Room for a job beside those that run, and streams paused to make it.

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

/// Prefill handed to the engine ahead of time; the rest waits here, where ranks hold.
const PREFILL_AHEAD: Duration = Duration::from_millis(120);
/// First rank whose streams are paused; the gap targets of those above leave no time for it.
const LEAST_PAUSED: ServiceRank = ServiceRank::Patient;

impl SideScheduler {
    /// Puts a running stream back at the head of its rank's queue.
    pub(super) fn pause(&mut self, key: JobKey) {
        let Some(job) = self.running.remove(&key) else {
            return;
        };
        self.used -= job.pieces;
        self.pauses += 1;
        let mut spec = job.spec;
        spec.context.0 += job.produced;
        spec.output.0 = job.output_left().max(1);
        spec.resumed = true;
        spec.imported = true;
        self.queue.push_front(spec.rank, spec);
    }

    /// Whether a job fits beside those that run.
    pub(super) fn has_room(&self, spec: &JobSpec) -> bool {
        let pieces = self.pieces_of(spec);
        let fits_memory = self.used + pieces <= self.profile.pieces.0;
        let fits_streams = self.running.len() < self.stream_limit(spec.gap);
        let alone = self.running.values().any(|job| job.spec.alone) || spec.alone;
        let fits_alone = !alone || self.running.is_empty();
        fits_memory && fits_streams && fits_alone && self.has_prefill_room()
    }

    fn has_prefill_room(&self) -> bool {
        let pending = self.running.values().filter(|job| !job.started);
        let ahead: Duration = pending.map(|job| self.prefill_time(&job.spec)).sum();
        ahead < PREFILL_AHEAD
    }

    /// Lower streams whose pause makes room, the newest first; none when pausing can't help.
    pub(super) fn choose_victims(&self, spec: &JobSpec) -> Option<Vec<JobKey>> {
        if spec.alone || !self.has_prefill_room() {
            return None;
        }
        let mut lower: Vec<&RunningJob> = self
            .running
            .values()
            .filter(|job| self.is_pausable(job, spec.rank))
            .collect();
        lower.sort_by_key(|job| {
            (
                std::cmp::Reverse(job.spec.rank),
                std::cmp::Reverse(job.since),
            )
        });
        let mut free = self.profile.pieces.0 - self.used;
        let mut slots = self
            .stream_limit(spec.gap)
            .saturating_sub(self.running.len());
        let needed = self.pieces_of(spec);
        let mut victims = Vec::new();
        for job in lower {
            if needed <= free && slots > 0 {
                break;
            }
            free += job.pieces;
            slots += 1;
            victims.push(job.spec.key);
        }
        let helps = needed <= free && slots > 0 && !victims.is_empty();
        helps.then_some(victims)
    }

    /// A stream may be paused for a more urgent rank while its own keeps its floor of memory.
    pub(crate) fn is_pausable(&self, job: &RunningJob, rank: ServiceRank) -> bool {
        if job.spec.rank <= rank || job.spec.rank < LEAST_PAUSED || job.spec.alone {
            return false;
        }
        let same = self
            .running
            .values()
            .filter(|other| other.spec.rank == job.spec.rank);
        let held: u32 = same.map(|other| other.pieces).sum();
        let floor = self.queue.floor(job.spec.rank) * f64::from(self.profile.pieces.0);
        f64::from(held.saturating_sub(job.pieces)) >= floor
    }
}
