//! Ages in messages and times of day in records, against the clock of the runtime.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use tokio::time::Instant;

/// Returns the time since a point in time in milliseconds.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

/// Returns the time that was `age_ms` before `now`, or `now` if the clock does not reach back so far.
pub(crate) fn time_before(now: Instant, age_ms: u64) -> Instant {
    let time = now.checked_sub(Duration::from_millis(age_ms));
    time.unwrap_or(now)
}

/// A pair of simultaneous readings of the runtime's clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockReading {
    now: Instant,
    /// Time of day in milliseconds since the Unix epoch.
    pub(crate) unix_ms: u64,
}

impl ClockReading {
    /// Reads both clocks.
    pub(crate) fn take() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            now: Instant::now(),
            unix_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
        }
    }

    /// Returns the time of day at a point in time.
    pub(crate) fn to_unix_ms(self, at: Instant) -> u64 {
        let age = self.now.saturating_duration_since(at);
        self.unix_ms.saturating_sub(age.as_millis() as u64)
    }

    /// Returns the point in time of a time of day. One ahead of this instance's clock counts as now.
    pub(crate) fn parse_unix_ms(self, unix_ms: u64) -> Instant {
        time_before(self.now, self.unix_ms.saturating_sub(unix_ms))
    }
}
