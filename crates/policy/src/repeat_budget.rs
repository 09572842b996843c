//! Bounds the sends beyond each request's first, over all entries together.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the agreed ratio that is spent, so that windows which slide differently stay below it.
const RATIO_SAFETY: f64 = 0.8;
/// Part of the agreed allowance that all entries spend together.
const ALLOWANCE_SAFETY: f64 = 0.8;
/// Slices of the window; a slice is dropped as a whole.
const SLICES: u32 = 20;

/// What the platform allows for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatTerms {
    /// Further sends for each request.
    pub ratio: f64,
    /// Window in which both are counted.
    pub window: Duration,
    /// Further sends beyond the ratio, of all entries together.
    pub allowance: f64,
}

#[derive(Debug, Clone, Copy)]
struct CountSlice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    terms: RepeatTerms,
    started: Instant,
    slices: VecDeque<CountSlice>,
}

impl RepeatBudget {
    /// A budget without any requests yet.
    pub fn new(now: Instant, terms: RepeatTerms) -> Self {
        Self {
            terms,
            started: now,
            slices: VecDeque::new(),
        }
    }

    /// Takes other terms from now on.
    pub fn set_terms(&mut self, terms: RepeatTerms) {
        self.terms = terms;
    }

    /// Counts a request of a caller.
    pub fn earn(&mut self, now: Instant) {
        self.slice(now).requests += 1;
    }

    /// Takes a further send, while `entries` entries share the allowance; false when none is left.
    ///
    /// An entry that has just started spends no allowance: the run before it on the same instance
    /// may have spent its part within the window.
    pub fn spend(&mut self, now: Instant, entries: usize) -> bool {
        self.forget(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let settled = now.saturating_duration_since(self.started) >= self.terms.window;
        let part = if settled && entries > 0 {
            self.terms.allowance * ALLOWANCE_SAFETY / entries as f64
        } else {
            0.0
        };
        let allowed = f64::from(requests) * self.terms.ratio * RATIO_SAFETY + part;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    fn slice(&mut self, now: Instant) -> &mut CountSlice {
        let length = self.terms.window / SLICES;
        let current = self.slices.back().is_some_and(|s| now < s.start + length);
        if !current {
            self.forget(now);
            self.slices.push_back(CountSlice {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn forget(&mut self, now: Instant) {
        let length = self.terms.window / SLICES;
        let kept = self.terms.window + length;
        let old = |slice: &CountSlice| slice.start + kept <= now;
        while self.slices.front().is_some_and(old) {
            self.slices.pop_front();
        }
    }
}
