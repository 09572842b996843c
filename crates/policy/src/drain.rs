//! Graceful stops: no new work, then the end of what runs.

use tokio::time::Instant;

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
