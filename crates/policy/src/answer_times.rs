//! Recent times until the ends of answers, and the ages of those under way, by route.

use std::collections::btree_map::Entry;
use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::RouteName;

/// Number of answers of one route that are kept.
const MAX_SAMPLES: usize = 64;
/// Time for which an answer says something about later ones.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);
/// Number of routes with answers. Those of others are not kept, as of routes that come and go.
const MAX_ROUTES: usize = 1_024;

/// Times of one answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample {
    /// Time from the arrival of the request to the end of the answer.
    pub total: Duration,
    /// Part of that time in which the answer was made, as far as known: that from the first event of a
    /// stream.
    pub run: Duration,
}

/// How long an answer takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerEstimate {
    /// Time from arrival to end that hardly any answer exceeds, with the queues of the servers as they are.
    pub longest: Duration,
    /// Time from arrival to end that most answers exceed.
    pub least_total: Duration,
    /// Time that most answers take to make.
    pub least_run: Duration,
    /// Time since the arrival of the oldest request whose answer is under way.
    pub oldest_running: Duration,
}

/// Times of the latest answers of each route.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: BTreeMap<RouteName, VecDeque<(Instant, AnswerSample)>>,
    /// Number of requests without a complete answer, by route and arrival.
    running: BTreeMap<RouteName, BTreeMap<Instant, u32>>,
}

impl AnswerTimes {
    /// Records that the answer to a request that arrived then is under way.
    pub fn start(&mut self, route: &RouteName, arrived: Instant) {
        if !self.running.contains_key(route) {
            self.running.insert(route.clone(), BTreeMap::new());
        }
        if let Some(arrivals) = self.running.get_mut(route) {
            *arrivals.entry(arrived).or_default() += 1;
        }
    }

    /// Records that the answer to a request that arrived then has ended in any way.
    pub fn finish(&mut self, route: &RouteName, arrived: Instant) {
        let Some(arrivals) = self.running.get_mut(route) else {
            return;
        };
        if let Entry::Occupied(mut entry) = arrivals.entry(arrived) {
            *entry.get_mut() -= 1;
            if *entry.get() == 0 {
                entry.remove();
            }
        }
        if arrivals.is_empty() {
            self.running.remove(route);
        }
    }

    /// Returns how long the oldest answer of a route has been under way.
    fn oldest_running(&self, now: Instant, route: &RouteName) -> Option<Duration> {
        let (arrived, _) = self.running.get(route)?.first_key_value()?;
        Some(now.saturating_duration_since(*arrived))
    }

    /// Records a complete answer.
    pub fn record(&mut self, now: Instant, route: &RouteName, sample: AnswerSample) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes
                    .retain(|_, samples| samples.back().is_some_and(|last| is_recent(now, last)));
            }
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let samples = self.routes.entry(route.clone()).or_default();
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, sample));
    }

    /// Estimates the time of an answer to a request that has `rounds` full sets of requests ahead of it at
    /// the server with the shortest queue. `unloaded` is the time of an answer while none is known.
    pub fn estimate(
        &self,
        now: Instant,
        route: &RouteName,
        rounds: u32,
        unloaded: Duration,
    ) -> AnswerEstimate {
        let samples = self.routes.get(route).into_iter().flatten();
        let samples = samples.filter(|sample| is_recent(now, sample));
        let (mut totals, mut runs): (Vec<Duration>, Vec<Duration>) = samples
            .map(|(_, sample)| (sample.total, sample.run))
            .unzip();
        totals.sort_unstable();
        runs.sort_unstable();
        let slowest = totals.last().copied().unwrap_or_default();
        let run = lower_quartile(&runs);
        let queued = run.unwrap_or(unloaded).saturating_mul(rounds + 1);
        AnswerEstimate {
            longest: slowest.max(queued),
            least_total: lower_quartile(&totals).unwrap_or_default(),
            least_run: run.unwrap_or_default(),
            oldest_running: self.oldest_running(now, route).unwrap_or_default(),
        }
    }
}

fn is_recent(now: Instant, sample: &(Instant, AnswerSample)) -> bool {
    now.saturating_duration_since(sample.0) < SAMPLE_LIFETIME
}

fn lower_quartile(sorted: &[Duration]) -> Option<Duration> {
    sorted.get(sorted.len() / 4).copied()
}
