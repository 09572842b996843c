//! The side's own monotonic clock, whose stamps bound the age of orders and tickets.

use policy::SideTimestamp;
use tokio::time::Instant;

/// Counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SideClock {
    start: Instant,
}

impl SideClock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn timestamp(&self) -> SideTimestamp {
        SideTimestamp(self.start.elapsed())
    }
}
