//! Bounds the sends beyond each request's first, over all entries together.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Part of the agreed ratio that is spent, so that windows which slide differently stay below it.
const RATIO_SAFETY_FACTOR: f64 = 0.8;
/// Part of the agreed allowance that all entries spend together.
const ALLOWANCE_SAFETY_FACTOR: f64 = 0.8;
/// Slices of the window; a slice is dropped as a whole.
const SLICES_PER_WINDOW: u32 = 20;

/// What the platform allows for one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
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
    retries: u32,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    created_at: Instant,
    slices: VecDeque<CountSlice>,
}

impl RetryBudget {
    /// A budget without any requests yet.
    pub fn new(now: Instant, limits: RetryLimits) -> Self {
        Self {
            limits,
            created_at: now,
            slices: VecDeque::new(),
        }
    }

    /// Takes other terms from now on.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Takes a further send, while `entries` entries share the allowance; false when none is left.
    ///
    /// An entry that has just started spends no allowance: the run before it on the same instance
    /// may have spent its part within the window.
    pub fn try_spend(&mut self, now: Instant, gateways: usize) -> bool {
        self.drop_expired(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowance_unlocked =
            now.saturating_duration_since(self.created_at) >= self.limits.window;
        let allowance_share = if allowance_unlocked && gateways > 0 {
            self.limits.allowance * ALLOWANCE_SAFETY_FACTOR / gateways as f64
        } else {
            0.0
        };
        let allowed =
            f64::from(requests) * self.limits.ratio * RATIO_SAFETY_FACTOR + allowance_share;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    fn current_slice(&mut self, now: Instant) -> &mut CountSlice {
        let slice_length = self.limits.window / SLICES_PER_WINDOW;
        let is_current = self
            .slices
            .back()
            .is_some_and(|s| now < s.start + slice_length);
        if !is_current {
            self.drop_expired(now);
            self.slices.push_back(CountSlice {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn drop_expired(&mut self, now: Instant) {
        let slice_length = self.limits.window / SLICES_PER_WINDOW;
        let retention = self.limits.window + slice_length;
        let is_expired = |slice: &CountSlice| slice.start + retention <= now;
        while self.slices.front().is_some_and(is_expired) {
            self.slices.pop_front();
        }
    }
}
