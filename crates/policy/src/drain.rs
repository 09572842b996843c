//! Graceful shutdown: which requests a draining process still accepts, and when its work is done.

use std::time::Duration;

use tokio::time::Instant;

use crate::AnswerEstimate;

/// Time before the end of the grace period by which answers must be complete.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Why a draining process accepts a request, or that it does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainDecision {
    /// The request ends before the process does, whatever the backend servers do: its deadline is sooner.
    EndsInTime,
    /// The answer is expected in time, and the caller could not know that the process drains.
    Expected,
    /// Neither holds.
    Refused,
}

impl DrainDecision {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EndsInTime => "ends_in_time",
            Self::Expected => "expected",
            Self::Refused => "refused",
        }
    }
}

/// Time in which a draining process answers the requests that it has, and others that it can still answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainWindow {
    /// When the drain started.
    pub since: Instant,
    /// Until when requests come whose callers could not know of the drain.
    pub unnoticed_until: Instant,
    /// When all answers have to be complete.
    pub answer_by: Instant,
}

impl DrainWindow {
    /// Returns the window of a drain that starts now, is known to callers after `notice_time`, and ends with
    /// the grace period.
    pub fn new(now: Instant, notice_time: Duration, grace_period: Duration) -> Self {
        Self {
            since: now,
            unnoticed_until: now + notice_time,
            answer_by: now + grace_period.saturating_sub(RESPONSE_MARGIN),
        }
    }

    /// Decides on a request that arrives now and has to be answered by `deadline`. No estimate from earlier
    /// answers holds while times rise, and an answer that has begun and is cut cannot be taken back: the
    /// estimate decides only as long as callers cannot be spared the risk.
    pub fn decide(
        &self,
        now: Instant,
        deadline: Instant,
        estimate: &AnswerEstimate,
    ) -> DrainDecision {
        if deadline <= self.answer_by {
            return DrainDecision::EndsInTime;
        }
        let expected = estimate.longest.max(estimate.oldest_running);
        if now < self.unnoticed_until && now + expected <= self.answer_by {
            DrainDecision::Expected
        } else {
            DrainDecision::Refused
        }
    }

    /// Returns when a request without an answer is given up, or `None` if its deadline ends it before. One
    /// that no backend server may have run, as soon as there is too little time left to run it. Another one
    /// at the end, or at the start of the drain if nearly all answers would come too late for it.
    pub fn give_up_at(
        &self,
        arrived: Instant,
        deadline: Instant,
        may_have_run: bool,
        estimate: &AnswerEstimate,
    ) -> Option<Instant> {
        if deadline <= self.answer_by {
            return None;
        }
        if !may_have_run {
            let time_left = self.answer_by.saturating_duration_since(self.since);
            return Some(self.since + time_left.saturating_sub(estimate.least_run));
        }
        Some(if arrived + estimate.least_total > self.answer_by {
            self.since
        } else {
            self.answer_by
        })
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
