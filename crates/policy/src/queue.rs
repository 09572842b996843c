//! The lines of waiting jobs: ranks first, with a floor share of work for each.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::{
    RankMap,
    ServiceRank, //
};

/// Time over which the service of each rank is remembered.
const SHARE_WINDOW: Duration = Duration::from_secs(10);

/// Share of the fleet that floors take together; the rest goes by rank.
pub const FLOOR_TOTAL: f64 = 0.4;

/// Serves ranks in order, but first those below their floor share.
#[derive(Debug)]
pub struct RankQueue<T> {
    waiting: RankMap<VecDeque<T>>,
    floors: RankMap<f64>,
    served: RankMap<f64>,
    decayed_at: Option<Instant>,
}

impl<T> RankQueue<T> {
    /// An empty queue with a floor share, from 0 to 1, for each rank.
    pub fn new(floors: RankMap<f64>) -> Self {
        Self {
            waiting: RankMap::from_fn(|_| VecDeque::new()),
            floors,
            served: RankMap::default(),
            decayed_at: None,
        }
    }

    /// Changes the floor shares.
    pub fn set_floors(&mut self, floors: RankMap<f64>) {
        self.floors = floors;
    }

    /// Floor share of a rank.
    pub fn floor(&self, rank: ServiceRank) -> f64 {
        self.floors[rank]
    }

    /// Jobs that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(|(_, line)| line.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Jobs that wait in a rank, the first one first.
    pub fn line(&self, rank: ServiceRank) -> impl Iterator<Item = &T> {
        self.waiting[rank].iter()
    }

    /// Adds a job at the end of its rank's line.
    pub fn push_back(&mut self, rank: ServiceRank, job: T) {
        self.waiting[rank].push_back(job);
    }

    /// Adds a job at the front of its rank's line.
    pub fn push_front(&mut self, rank: ServiceRank, job: T) {
        self.waiting[rank].push_front(job);
    }

    /// Rank to serve next: the first one below its floor share, else the first one waiting.
    pub fn next_rank(&self) -> Option<ServiceRank> {
        let waiting = || {
            let ranks = ServiceRank::ALL.into_iter();
            ranks.filter(|rank| !self.waiting[*rank].is_empty())
        };
        let below = |rank: &ServiceRank| self.is_below_floor(*rank);
        waiting().find(below).or_else(|| waiting().next())
    }

    /// Whether a rank has received less than its floor share of the recent work.
    pub fn is_below_floor(&self, rank: ServiceRank) -> bool {
        let total: f64 = self.served.iter().map(|(_, work)| *work).sum();
        self.served[rank] < self.floors[rank] * total
    }

    /// The first job of a rank.
    pub fn front(&self, rank: ServiceRank) -> Option<&T> {
        self.waiting[rank].front()
    }

    /// Takes the first job of a rank.
    pub fn pop(&mut self, rank: ServiceRank) -> Option<T> {
        self.waiting[rank].pop_front()
    }

    /// Counts work as served to a rank.
    pub fn count_served(&mut self, now: Instant, rank: ServiceRank, work: f64) {
        let last = *self.decayed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let factor = (-elapsed / SHARE_WINDOW.as_secs_f64()).exp();
        for other in ServiceRank::ALL {
            self.served[other] *= factor;
        }
        self.served[rank] += work;
        self.decayed_at = Some(now);
    }

    /// Takes out the jobs of a rank that a test selects.
    pub fn remove_where(&mut self, rank: ServiceRank, mut test: impl FnMut(&T) -> bool) -> Vec<T> {
        let line = std::mem::take(&mut self.waiting[rank]);
        let mut removed = Vec::new();
        for job in line {
            if test(&job) {
                removed.push(job);
            } else {
                self.waiting[rank].push_back(job);
            }
        }
        removed
    }
}
