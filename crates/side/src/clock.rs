//! Monotonic clock of a side process, whose timestamps limit the age of orders and tickets.

use policy::SideTimestamp;
use tokio::time::Instant;

/// Clock that counts from the start of the process.
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
