//! Own sight of a backend server's answers, and for how long it gets no new work after failures.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one answer in the share of failures.
const SHARE_WEIGHT: f64 = 0.12;
/// First pause after failures in a row.
const PAUSE_FIRST: Duration = Duration::from_millis(500);
/// Longest pause; then real work probes the backend server again.
const PAUSE_LIMIT: Duration = Duration::from_secs(4);
/// Failures in a row that pause a backend server.
const STREAK_LIMIT: u32 = 2;

/// How a send ended, as far as it says something of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// A whole answer.
    Served,
    /// An error status of the backend server.
    Error,
    /// It refused without running the request.
    Refused,
    /// No connection came about.
    Unreached,
    /// The connection broke or carried bytes that are no answer.
    Broken,
}

/// What the answers of one backend server say of it.
#[derive(Debug, Clone, Default)]
pub struct BackendHealth {
    failure_share: f64,
    streak: u32,
    paused_until: Option<Instant>,
}

impl BackendHealth {
    /// Takes the outcome of a send; true when the backend server is paused by it.
    pub fn note(&mut self, now: Instant, outcome: SendOutcome) -> bool {
        let failed = !matches!(outcome, SendOutcome::Served | SendOutcome::Refused);
        let target = if failed { 1.0 } else { 0.0 };
        self.failure_share += SHARE_WEIGHT * (target - self.failure_share);
        match outcome {
            SendOutcome::Served => {
                self.streak = 0;
                self.paused_until = None;
                false
            }
            // One that refuses is full, leaves or changes its stage; the next send would be refused too.
            SendOutcome::Unreached | SendOutcome::Refused => {
                self.streak = self.streak.max(STREAK_LIMIT - 1);
                self.pause(now)
            }
            SendOutcome::Broken => self.pause(now),
            SendOutcome::Error => false,
        }
    }

    /// Share of answers that failed, weighted towards the latest.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether it gets no new work now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    fn pause(&mut self, now: Instant) -> bool {
        self.streak += 1;
        if self.streak < STREAK_LIMIT || self.is_paused(now) {
            return false;
        }
        let doublings = (self.streak - STREAK_LIMIT).min(8);
        let pause = (PAUSE_FIRST * 2_u32.pow(doublings)).min(PAUSE_LIMIT);
        self.paused_until = Some(now + pause);
        true
    }
}
