//! Availability of the platform's store, as the calls of one process show it.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the store's return in which it restores the entries of live backend servers.
const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2_200);

/// Availability of the platform's store.
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    is_down: bool,
    last_failure: Option<Instant>,
    returned_at: Option<Instant>,
    restored_at: Option<Instant>,
}

impl StoreHealth {
    /// Records that the store answered. Returns whether it was down.
    pub fn record_success(&mut self, now: Instant) -> bool {
        let was_down = std::mem::take(&mut self.is_down);
        if was_down {
            self.returned_at = Some(now);
        }
        was_down
    }

    /// Records that a call sent at `sent_at` failed. Returns whether the store was up. A call sent
    /// before the store's return does not show another outage.
    pub fn record_failure(&mut self, now: Instant, sent_at: Instant) -> bool {
        self.last_failure = Some(now);
        if !self.is_down && self.returned_at.is_some_and(|at| sent_at < at) {
            return false;
        }
        !std::mem::replace(&mut self.is_down, true)
    }

    /// Returns whether the latest calls have failed.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Records that the store has come back from an earlier copy, which lacks entries.
    pub fn record_restored(&mut self, now: Instant) {
        self.returned_at = Some(now);
        self.restored_at = Some(now);
    }

    /// Returns when the store was last seen to have come back from an earlier copy.
    pub fn restored_at(&self) -> Option<Instant> {
        self.restored_at
    }

    /// Returns until when the entries in an earlier copy are out of date, if the store has come back
    /// from one.
    pub fn outdated_until(&self) -> Option<Instant> {
        self.restored_at.map(|at| at + ENTRY_RETURN_TIME)
    }

    /// Returns whether a call has failed within `time`.
    pub fn has_failed_within(&self, now: Instant, time: Duration) -> bool {
        self.last_failure.is_some_and(|at| now < at + time)
    }

    /// Returns whether entries that have vanished may come back.
    pub fn entries_may_return(&self, now: Instant) -> bool {
        self.is_down || !self.has_restored_entries(now)
    }

    /// Returns whether entries that have not come back by now will not.
    pub fn has_restored_entries(&self, now: Instant) -> bool {
        let has_returned = |at: Instant| now >= at + ENTRY_RETURN_TIME;
        !self.is_down && self.returned_at.is_none_or(has_returned)
    }
}
