//! Limits the retries to one service across all gateways.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Share of the configured ratio that may be spent. The rest absorbs the difference between this
/// window and the platform's, which need not start at the same time.
const RATIO_SAFETY_FACTOR: f64 = 0.8;
/// Share of the configured allowance that all gateways together may spend.
const ALLOWANCE_SAFETY_FACTOR: f64 = 0.8;
/// Number of slices that a window is counted in. A slice expires as a whole.
const SLICES_PER_WINDOW: u32 = 20;

/// Retries beyond the budget that one gateway may owe.
const OVERDRAFT: f64 = 1.0;

/// Limits that the platform sets on the retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries that all gateways together may send in a window in addition to the ratio.
    pub allowance: f64,
}

#[derive(Debug, Clone, Copy)]
struct CountSlice {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Counts the requests and retries of one service in a sliding window.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Start of the process, in whose first window the process before may have spent the allowance.
    started_at: Instant,
    slices: VecDeque<CountSlice>,
}

impl RetryBudget {
    /// Creates a budget without any requests, for a process that started at `started_at`.
    pub fn new(started_at: Instant, limits: RetryLimits) -> Self {
        Self {
            limits,
            started_at,
            slices: VecDeque::new(),
        }
    }

    /// Replaces the limits. The counts of the current window are kept.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller, which earns a share of a retry.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Counts a retry and returns true, or returns false if the budget is exhausted.
    ///
    /// The allowance is divided equally among `gateways` gateways. A gateway spends none of the
    /// allowance in the first window after it starts, because the previous process on the same
    /// instance may have spent this gateway's share in the same window. If `gateways` is zero, the
    /// other gateways are unknown and none of the allowance is spent.
    pub fn try_spend(&mut self, now: Instant, gateways: usize) -> bool {
        self.try_spend_with(now, gateways, 0.0)
    }

    /// Counts a retry in the same way, but lets one more than the budget allows. Later ones make up for
    /// it.
    pub fn try_overdraw(&mut self, now: Instant, gateways: usize) -> bool {
        self.try_spend_with(now, gateways, OVERDRAFT)
    }

    fn try_spend_with(&mut self, now: Instant, gateways: usize, overdraft: f64) -> bool {
        self.drop_expired(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowance_unlocked =
            now.saturating_duration_since(self.started_at) >= self.limits.window;
        let allowance_share = if allowance_unlocked && gateways > 0 {
            self.limits.allowance * ALLOWANCE_SAFETY_FACTOR / gateways as f64
        } else {
            0.0
        };
        let allowed =
            f64::from(requests) * self.limits.ratio * RATIO_SAFETY_FACTOR + allowance_share;
        if f64::from(retries) + 1.0 > allowed + overdraft {
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
