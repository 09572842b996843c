//! Failure rate of a backend server as observed by this gateway, and pauses after failures.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one attempt in the exponentially weighted failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.12;
/// First pause after consecutive failures; each further failure doubles the pause.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Maximum pause; after a pause, regular requests probe the backend server again.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Consecutive failures that pause a backend server.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Outcome of an attempt, as far as it reveals the state of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response without a server error status arrived.
    Success,
    /// The backend server answered with a server error status.
    ErrorStatus,
    /// The backend server refused the request without running it.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// The connection broke or carried an invalid response.
    ConnectionBroken,
}

/// Failure rate and pause state of one backend server.
#[derive(Debug, Clone, Default)]
pub struct BackendHealth {
    failure_rate: f64,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
}

impl BackendHealth {
    /// Records the outcome of an attempt. Returns true if the outcome pauses the backend server.
    pub fn record_outcome(&mut self, now: Instant, outcome: AttemptOutcome) -> bool {
        let failed = !matches!(outcome, AttemptOutcome::Success | AttemptOutcome::Refused);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (sample - self.failure_rate);
        match outcome {
            AttemptOutcome::Success => {
                self.consecutive_failures = 0;
                self.paused_until = None;
                false
            }
            // A refusal pauses at once: the backend server is full, drains or changes its stage and
            // would refuse the next request too. A failed connection is treated alike.
            AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
                self.consecutive_failures =
                    self.consecutive_failures.max(FAILURES_BEFORE_PAUSE - 1);
                self.record_failure(now)
            }
            AttemptOutcome::ConnectionBroken => self.record_failure(now),
            AttemptOutcome::ErrorStatus => false,
        }
    }

    /// Returns the share of failed attempts, weighted towards the latest.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the backend server is paused and gets no new requests.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    fn record_failure(&mut self, now: Instant) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_BEFORE_PAUSE || self.is_paused(now) {
            return false;
        }
        let doublings = (self.consecutive_failures - FAILURES_BEFORE_PAUSE).min(8);
        let pause = (INITIAL_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        self.paused_until = Some(now + pause);
        true
    }
}
