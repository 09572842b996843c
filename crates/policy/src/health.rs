//! Own sight of a backend server's answers, and for how long it gets no new work after failures.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one answer in the share of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.12;
/// First pause after failures in a row.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; then real work probes the backend server again.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Failures in a row that pause a backend server.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// How a send ended, as far as it says something of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Success,
    /// An error status of the backend server.
    ErrorStatus,
    /// It refused without running the request.
    Refused,
    /// No connection came about.
    Unreachable,
    /// The connection broke or carried bytes that are no answer.
    ConnectionBroken,
}

/// What the answers of one backend server say of it.
#[derive(Debug, Clone, Default)]
pub struct BackendHealth {
    failure_rate: f64,
    consecutive_failures: u32,
    paused_until: Option<Instant>,
}

impl BackendHealth {
    /// Takes the outcome of a send; true when the backend server is paused by it.
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
            // One that refuses is full, leaves or changes its stage; the next send would be refused too.
            AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
                self.consecutive_failures =
                    self.consecutive_failures.max(FAILURES_BEFORE_PAUSE - 1);
                self.record_failure(now)
            }
            AttemptOutcome::ConnectionBroken => self.record_failure(now),
            AttemptOutcome::ErrorStatus => false,
        }
    }

    /// Share of answers that failed, weighted towards the latest.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it gets no new work now.
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
