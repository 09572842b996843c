//! Graceful stops: no new work, then the end of what runs.

use std::time::Duration;

use tokio::time::Instant;

use crate::CallKind;

/// Time for which a leaving process takes new streams; later ones would not end before it does.
const STREAM_TAKE_TIME: Duration = Duration::from_millis(2_700);
/// Time before the end of the grace period by which answers are out.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Whether a process that began to leave `spent` ago still takes a request, given the time from its
/// first signal to its end and the longest time of the request.
pub fn takes_while_leaving(
    spent: Duration,
    grace: Duration,
    kind: CallKind,
    timeout: Duration,
) -> bool {
    if kind.is_stream() {
        return spent < STREAM_TAKE_TIME.min(grace / 2);
    }
    spent + timeout + END_MARGIN < grace
}

/// Says whether new work is taken, and when a draining process may stop.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    since: Option<Instant>,
    running: usize,
}

impl DrainGate {
    /// Counts one piece of work in, unless the process drains.
    pub fn enter(&mut self) -> bool {
        let open = self.since.is_none();
        if open {
            self.running += 1;
        }
        open
    }

    /// Counts one piece of work out.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Starts the drain; later calls keep the first start.
    pub fn close(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Whether new work is refused.
    pub fn is_closed(&self) -> bool {
        self.since.is_some()
    }

    /// Work that still runs.
    pub fn running(&self) -> usize {
        self.running
    }
}
