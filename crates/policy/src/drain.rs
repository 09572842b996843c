//! Graceful shutdown: which requests a draining process still accepts, and when its work is done.

use std::time::Duration;

use tokio::time::Instant;

use crate::AnswerEstimate;

/// Time before the end of the grace period by which answers must be complete.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Time in which a draining process answers the requests that it has, and others that it can still answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainWindow {
    /// When the drain started.
    pub since: Instant,
    /// When all answers have to be complete.
    pub answer_by: Instant,
}

impl DrainWindow {
    /// Returns the window of a drain that starts now and ends with the grace period.
    pub fn new(now: Instant, grace_period: Duration) -> Self {
        Self {
            since: now,
            answer_by: now + grace_period.saturating_sub(RESPONSE_MARGIN),
        }
    }

    /// Returns whether a request that arrives now is answered in time. An answer that has begun and is cut
    /// cannot be taken back, so that nearly all have to fit.
    pub fn accepts(&self, now: Instant, estimate: &AnswerEstimate) -> bool {
        now + estimate.longest <= self.answer_by
    }

    /// Returns when a request without an answer is given up. One that no backend server may have run, as
    /// soon as there is too little time left to run it. Another one at the end, or at the start of the drain
    /// if nearly all answers would come too late for it.
    pub fn give_up_at(
        &self,
        arrived: Instant,
        may_have_run: bool,
        estimate: &AnswerEstimate,
    ) -> Instant {
        if !may_have_run {
            let time_left = self.answer_by.saturating_duration_since(self.since);
            return self.since + time_left.saturating_sub(estimate.least_run);
        }
        if arrived + estimate.least_total > self.answer_by {
            self.since
        } else {
            self.answer_by
        }
    }
}

/// Admits requests until the drain starts and counts those in flight.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    closed_at: Option<Instant>,
    in_flight: usize,
}

impl DrainGate {
    /// Counts a request as in flight and returns true, or returns false if the process is draining.
    pub fn try_enter(&mut self) -> bool {
        let is_open = self.closed_at.is_none();
        if is_open {
            self.in_flight += 1;
        }
        is_open
    }

    /// Counts a request as finished.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Starts the drain. Later calls keep the time of the first one.
    pub fn close(&mut self, now: Instant) {
        self.closed_at.get_or_insert(now);
    }

    /// Returns whether the drain has started, so that new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed_at.is_some()
    }

    /// Returns the number of in-flight requests.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
