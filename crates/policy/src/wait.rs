//! Predicts how long a job would wait beside its backend server.

use std::time::Duration;

use units::TokenCount;

use crate::sched::{
    MIXED_CHUNK,
    RunningJob,
    ranks_before, //
};
use crate::{
    EngineRole,
    ServiceRank,
    SideScheduler, //
};

/// Pieces and streams asked for by waiting jobs.
#[derive(Debug, Clone, Copy)]
struct QueueDemand {
    pieces: u32,
    jobs: usize,
}

/// When a running job ends, and what it frees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunningEnd {
    steps: u32,
    pieces: u32,
}

impl SideScheduler {
    /// Time until a job of a rank would start its prefill.
    pub(crate) fn predicted_wait(&self, rank: ServiceRank, pieces: u32, gap: Duration) -> Duration {
        let pending: Duration = self
            .running
            .values()
            .filter(|job| !job.started && job.spec.rank <= rank)
            .map(|job| self.prefill_time(&job.spec))
            .sum();
        let line_time = |rank| -> Duration {
            self.queue
                .line(rank)
                .map(|spec| self.prefill_time(spec))
                .sum()
        };
        let own = line_time(rank);
        let before: Duration = ranks_before(rank).map(line_time).sum();
        let queued = self.line_wait(rank, before, own);
        let memory = self.memory_wait(rank, pieces, gap);
        (pending.saturating_add(queued)).max(memory)
    }

    /// Time to serve what is ahead of a job: by order of ranks, or by the floor of its own.
    pub(crate) fn line_wait(&self, rank: ServiceRank, before: Duration, own: Duration) -> Duration {
        let floor = self.queue.floor(rank);
        if floor > 0.0 {
            return (before + own).min(own.div_f64(floor));
        }
        before + own
    }

    /// Time until enough running jobs have ended to hold a job of a rank and those before it.
    fn memory_wait(&self, rank: ServiceRank, pieces: u32, gap: Duration) -> Duration {
        let ahead = self.demand_ahead(rank);
        let needed = ahead.pieces + pieces;
        let mut free = self.profile.pieces.0.saturating_sub(self.used);
        let mut slots = self.stream_limit(gap).saturating_sub(self.running.len());
        if needed <= free && ahead.jobs < slots {
            return Duration::ZERO;
        }
        let step = self.busy_step();
        let ends = self.running_ends(rank);
        let longest = ends.last().map_or(1, |end| end.steps.max(1));
        for end in ends {
            free += end.pieces;
            slots += 1;
            if needed <= free && ahead.jobs < slots {
                return step * end.steps;
            }
        }
        // More waits than the memory holds at a time: as many rounds as it takes.
        let by_memory = f64::from(needed) / f64::from(free.max(1));
        let by_slots = (ahead.jobs + 1) as f64 / slots.max(1) as f64;
        (step * longest).mul_f64(by_memory.max(by_slots))
    }

    /// What the jobs of a rank and of those before it ask for.
    fn demand_ahead(&self, rank: ServiceRank) -> QueueDemand {
        let mut demand = QueueDemand { pieces: 0, jobs: 0 };
        for other in ranks_before(rank).chain([rank]) {
            for spec in self.queue.line(other) {
                demand.pieces += self.pieces_of(spec);
                demand.jobs += 1;
            }
        }
        demand
    }

    /// Running jobs by the steps until they end, as a rank sees them: what it may pause ends now.
    fn running_ends(&self, rank: ServiceRank) -> Vec<RunningEnd> {
        let end = |job: &RunningJob| {
            let pausable = self.is_pausable(job, rank);
            let steps = if pausable { 0 } else { job.output_left() };
            let pieces = job.pieces;
            RunningEnd { steps, pieces }
        };
        let mut ends: Vec<RunningEnd> = self.running.values().map(end).collect();
        ends.sort_unstable();
        ends
    }

    /// Time of a step while jobs wait, which carries prefill as well.
    fn busy_step(&self) -> Duration {
        let chunk = match self.role {
            EngineRole::Mixed => MIXED_CHUNK,
            EngineRole::Prefill | EngineRole::Decode => TokenCount(0),
        };
        self.profile.step_time(chunk, self.running.len())
    }
}
