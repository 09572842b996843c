//! Queue of jobs, served by rank with a minimum share of work for each rank.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::{
    RankMap,
    ServiceRank, //
};

/// Time constant of the exponential decay of the work counted for each rank.
const SHARE_AVERAGING_WINDOW: Duration = Duration::from_secs(10);

/// Sum of the minimum shares of all ranks; the rest of the work is served strictly by rank.
pub const MINIMUM_SHARE_TOTAL: f64 = 0.4;

/// Queue that serves ranks in order, but ranks below their minimum share first.
#[derive(Debug)]
pub struct RankQueue<T> {
    queues: RankMap<VecDeque<T>>,
    minimum_shares: RankMap<f64>,
    recent_work: RankMap<f64>,
    decayed_at: Option<Instant>,
}

impl<T> RankQueue<T> {
    /// Creates an empty queue with a minimum share, from 0 to 1, for each rank.
    pub fn new(minimum_shares: RankMap<f64>) -> Self {
        Self {
            queues: RankMap::from_fn(|_| VecDeque::new()),
            minimum_shares,
            recent_work: RankMap::default(),
            decayed_at: None,
        }
    }

    /// Sets the minimum share of each rank.
    pub fn set_minimum_shares(&mut self, minimum_shares: RankMap<f64>) {
        self.minimum_shares = minimum_shares;
    }

    /// Returns the minimum share of a rank.
    pub fn minimum_share(&self, rank: ServiceRank) -> f64 {
        self.minimum_shares[rank]
    }

    /// Returns the number of queued jobs.
    pub fn len(&self) -> usize {
        self.queues.iter().map(|(_, queue)| queue.len()).sum()
    }

    /// Returns whether no job is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the queued jobs of a rank, from front to back.
    pub fn waiting(&self, rank: ServiceRank) -> impl Iterator<Item = &T> {
        self.queues[rank].iter()
    }

    /// Adds a job at the back of its rank's queue.
    pub fn push_back(&mut self, rank: ServiceRank, job: T) {
        self.queues[rank].push_back(job);
    }

    /// Adds a job at the front of its rank's queue.
    pub fn push_front(&mut self, rank: ServiceRank, job: T) {
        self.queues[rank].push_front(job);
    }

    /// Returns the rank to serve next: the most urgent non-empty rank below its minimum share, or
    /// else the most urgent non-empty rank.
    pub fn next_rank(&self) -> Option<ServiceRank> {
        let waiting_ranks = || {
            let ranks = ServiceRank::ALL.into_iter();
            ranks.filter(|rank| !self.queues[*rank].is_empty())
        };
        let below = |rank: &ServiceRank| self.is_below_minimum_share(*rank);
        waiting_ranks()
            .find(below)
            .or_else(|| waiting_ranks().next())
    }

    /// Returns whether a rank received less than its minimum share of the recent work.
    pub fn is_below_minimum_share(&self, rank: ServiceRank) -> bool {
        let total: f64 = self.recent_work.iter().map(|(_, work)| *work).sum();
        self.recent_work[rank] < self.minimum_shares[rank] * total
    }

    /// Returns the first job of a rank.
    pub fn front(&self, rank: ServiceRank) -> Option<&T> {
        self.queues[rank].front()
    }

    /// Removes and returns the first job of a rank.
    pub fn pop(&mut self, rank: ServiceRank) -> Option<T> {
        self.queues[rank].pop_front()
    }

    /// Records work served to a rank.
    pub fn record_served_work(&mut self, now: Instant, rank: ServiceRank, work: f64) {
        let last_decay = *self.decayed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last_decay).as_secs_f64();
        let factor = (-elapsed / SHARE_AVERAGING_WINDOW.as_secs_f64()).exp();
        for other in ServiceRank::ALL {
            self.recent_work[other] *= factor;
        }
        self.recent_work[rank] += work;
        self.decayed_at = Some(now);
    }

    /// Removes and returns the jobs of a rank that match a predicate.
    pub fn remove_matching(
        &mut self,
        rank: ServiceRank,
        mut matches: impl FnMut(&T) -> bool,
    ) -> Vec<T> {
        let queue = std::mem::take(&mut self.queues[rank]);
        let mut removed = Vec::new();
        for job in queue {
            if matches(&job) {
                removed.push(job);
            } else {
                self.queues[rank].push_back(job);
            }
        }
        removed
    }
}
