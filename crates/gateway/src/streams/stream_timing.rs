//! Arrival times of the events of a stream.

use std::time::Duration;

/// Arrival times of the events of a stream, across all its attempts.
#[derive(Debug, Default)]
pub(crate) struct StreamTiming {
    /// Time from the request to the first event.
    pub(crate) first: Option<Duration>,
    /// Time from the request to the latest event.
    last: Option<Duration>,
    /// Longest time between two events.
    pub(crate) longest_gap: Duration,
}

impl StreamTiming {
    /// Records events that arrived `elapsed` after the request.
    pub(crate) fn record(&mut self, elapsed: Duration) {
        self.first.get_or_insert(elapsed);
        if let Some(last) = self.last.replace(elapsed) {
            self.longest_gap = self.longest_gap.max(elapsed.saturating_sub(last));
        }
    }
}
