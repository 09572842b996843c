//! Graceful stops: no new work, then the end of what runs.

use std::time::Duration;

use tokio::time::Instant;

use crate::CallKind;

/// Time for which a leaving process takes new streams; later ones would not end before it does.
const STREAM_ACCEPT_DURATION: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period by which answers are out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);

/// Whether a process that began to leave `spent` ago still takes a request, given the time from its
/// first signal to its end and the longest time of the request.
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

/// Says whether new work is taken, and when a draining process may stop.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    closed_at: Option<Instant>,
    in_flight: usize,
}

impl DrainGate {
    /// Counts one piece of work in, unless the process drains.
    pub fn try_enter(&mut self) -> bool {
        let is_open = self.closed_at.is_none();
        if is_open {
            self.in_flight += 1;
        }
        is_open
    }

    /// Counts one piece of work out.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Starts the drain; later calls keep the first start.
    pub fn close(&mut self, now: Instant) {
        self.closed_at.get_or_insert(now);
    }

    /// Whether new work is refused.
    pub fn is_closed(&self) -> bool {
        self.closed_at.is_some()
    }

    /// Work that still runs.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
