//! Graceful shutdown: which requests a draining process still accepts, and when its work is done.

use std::time::Duration;

use tokio::time::Instant;

use crate::CallKind;

/// Time for which a draining process accepts new streams. Later ones would not end before the
/// process does.
const STREAM_ACCEPT_DURATION: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period by which answers must be complete.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Returns whether a process that began to drain `elapsed` ago still accepts a request.
///
/// `grace_period` is the time from the first termination signal to the end of the process, and
/// `timeout` the maximum duration of the request.
pub fn accepts_while_draining(
    elapsed: Duration,
    grace_period: Duration,
    kind: CallKind,
    timeout: Duration,
) -> bool {
    if kind.is_stream() {
        return elapsed < STREAM_ACCEPT_DURATION.min(grace_period / 2);
    }
    elapsed + timeout + RESPONSE_MARGIN < grace_period
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
