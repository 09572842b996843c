//! Estimates how long a job would wait in the queue of an engine.

use std::time::Duration;

use units::TokenCount;

use crate::side_scheduler::{
    MIXED_PREFILL_CHUNK,
    RunningJob,
    ranks_ahead_of, //
};
use crate::{
    EngineRole,
    ServiceRank,
    SideScheduler, //
};

/// KV cache pieces and streams that queued jobs need.
#[derive(Debug, Clone, Copy)]
struct QueueDemand {
    pieces: u32,
    jobs: usize,
}

/// Expected end of a running job, and the KV cache pieces freed at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedCompletion {
    remaining_steps: u32,
    pieces: u32,
}

impl SideScheduler {
    /// Estimates the time until a job of a rank would start its prefill.
    pub(crate) fn expected_wait(
        &self,
        rank: ServiceRank,
        pieces: u32,
        gap_target: Duration,
    ) -> Duration {
        let pending: Duration = self
            .running
            .values()
            .filter(|job| !job.has_first_token && job.spec.rank <= rank)
            .map(|job| self.prefill_time(&job.spec))
            .sum();
        let queued_prefill = |rank| -> Duration {
            self.queue
                .waiting(rank)
                .map(|spec| self.prefill_time(spec))
                .sum()
        };
        let own_time = queued_prefill(rank);
        let ahead_time: Duration = ranks_ahead_of(rank).map(queued_prefill).sum();
        let queue = self.queue_wait(rank, ahead_time, own_time);
        let memory = self.capacity_wait(rank, pieces, gap_target);
        (pending.saturating_add(queue)).max(memory)
    }

    /// Estimates the time to prefill the queued jobs ahead of a job: all of them in order of rank,
    /// or those of its own rank at the rank's minimum share, whichever is shorter.
    pub(crate) fn queue_wait(
        &self,
        rank: ServiceRank,
        ahead_time: Duration,
        own_time: Duration,
    ) -> Duration {
        let minimum_share = self.queue.minimum_share(rank);
        if minimum_share > 0.0 {
            return (ahead_time + own_time).min(own_time.div_f64(minimum_share));
        }
        ahead_time + own_time
    }

    /// Estimates the time until enough running jobs have ended for a job of a rank and the queued
    /// jobs ahead to fit.
    fn capacity_wait(&self, rank: ServiceRank, pieces: u32, gap_target: Duration) -> Duration {
        let demand = self.queued_demand(rank);
        let needed = demand.pieces + pieces;
        let mut free_pieces = self.profile.pieces.0.saturating_sub(self.used_pieces);
        let mut free_streams = self
            .stream_limit(gap_target)
            .saturating_sub(self.running.len());
        if needed <= free_pieces && demand.jobs < free_streams {
            return Duration::ZERO;
        }
        let step = self.loaded_step_time();
        let completions = self.expected_completions(rank);
        let longest = completions
            .last()
            .map_or(1, |completion| completion.remaining_steps.max(1));
        for completion in completions {
            free_pieces += completion.pieces;
            free_streams += 1;
            if needed <= free_pieces && demand.jobs < free_streams {
                return step * completion.remaining_steps;
            }
        }
        // The queued jobs need more than the whole engine holds, so they run in several rounds.
        let memory_rounds = f64::from(needed) / f64::from(free_pieces.max(1));
        let stream_rounds = (demand.jobs + 1) as f64 / free_streams.max(1) as f64;
        (step * longest).mul_f64(memory_rounds.max(stream_rounds))
    }

    /// Returns the demand of the queued jobs of a rank and of the more urgent ranks.
    fn queued_demand(&self, rank: ServiceRank) -> QueueDemand {
        let mut demand = QueueDemand { pieces: 0, jobs: 0 };
        for other in ranks_ahead_of(rank).chain([rank]) {
            for spec in self.queue.waiting(other) {
                demand.pieces += self.required_pieces(spec);
                demand.jobs += 1;
            }
        }
        demand
    }

    /// Returns the running jobs by remaining steps, from the view of a rank: a stream that the rank
    /// may pause counts as ended.
    fn expected_completions(&self, rank: ServiceRank) -> Vec<ExpectedCompletion> {
        let completion = |job: &RunningJob| {
            let pausable = self.is_pausable(job, rank);
            let remaining_steps = if pausable {
                0
            } else {
                job.remaining_output_tokens()
            };
            let pieces = job.pieces;
            ExpectedCompletion {
                remaining_steps,
                pieces,
            }
        };
        let mut completions: Vec<ExpectedCompletion> =
            self.running.values().map(completion).collect();
        completions.sort_unstable();
        completions
    }

    /// Returns the duration of a step while jobs are queued; on a mixed engine such a step includes
    /// a prefill chunk.
    fn loaded_step_time(&self) -> Duration {
        let chunk = match self.role {
            EngineRole::Mixed => MIXED_PREFILL_CHUNK,
            EngineRole::Prefill | EngineRole::Decode => TokenCount(0),
        };
        self.profile.step_time(chunk, self.running.len())
    }
}
