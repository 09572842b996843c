//! True time, which the clocks of most gateways show.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use units::{
    InstanceId,
    UnitError,
    UsageWindow, //
};

use crate::BootTime;

/// Time for which the reading of another gateway's clock is used.
const READING_LIFETIME: Duration = Duration::from_secs(5);

/// Time since the start of 1970, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrueTime(pub u64);

impl TrueTime {
    /// Returns the window that the time belongs to.
    pub fn window(self, length: Duration) -> UsageWindow {
        UsageWindow(self.0 / (length.as_millis() as u64).max(1))
    }

    /// Returns the start of a window.
    pub fn window_start(window: UsageWindow, length: Duration) -> Self {
        Self(window.0.saturating_mul(length.as_millis() as u64))
    }

    /// Returns the end of a window.
    pub fn window_end(window: UsageWindow, length: Duration) -> Self {
        Self::window_start(UsageWindow(window.0.saturating_add(1)), length)
    }

    /// Returns the time that is later by a duration.
    pub fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time.as_millis() as u64))
    }

    /// Returns the time that is earlier by a duration.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time.as_millis() as u64))
    }
}

impl fmt::Display for TrueTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for TrueTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        text.parse::<UsageWindow>().map(|number| Self(number.0))
    }
}

#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// Time of day less boot time, in milliseconds.
    offset_ms: i64,
    read_at: BootTime,
}

fn to_ms(time: BootTime) -> i64 {
    i64::try_from(time.0.as_millis()).unwrap_or(i64::MAX)
}

fn offset_ms(at: BootTime, shown: TrueTime) -> i64 {
    let shown_ms = i64::try_from(shown.0).unwrap_or(i64::MAX);
    shown_ms.saturating_sub(to_ms(at))
}

/// Median of the clocks of this gateway and of those that it hears, so that a clock which is wrong
/// decides nothing while most are right.
#[derive(Debug, Clone, Default)]
pub struct TrueClock {
    readings: BTreeMap<InstanceId, ClockReading>,
    /// Latest median, which decides between the middle two of an even number of clocks.
    latest_ms: Option<i64>,
}

impl TrueClock {
    /// Records what the clock of another gateway showed at `at`.
    pub fn record(&mut self, at: BootTime, gateway: InstanceId, shown: TrueTime) {
        let reading = ClockReading {
            offset_ms: offset_ms(at, shown),
            read_at: at,
        };
        self.readings.insert(gateway, reading);
    }

    /// Returns the true time, if this gateway's own clock shows `own`.
    pub fn now(&mut self, at: BootTime, own: TrueTime) -> TrueTime {
        self.readings
            .retain(|_, reading| at.0 < reading.read_at.0 + READING_LIFETIME);
        let own_ms = offset_ms(at, own);
        let readings = self.readings.values().map(|reading| reading.offset_ms);
        let mut offsets: Vec<i64> = readings.chain([own_ms]).collect();
        offsets.sort_unstable();
        let latest = self.latest_ms.unwrap_or(own_ms);
        let middle = [offsets[(offsets.len() - 1) / 2], offsets[offsets.len() / 2]];
        let [lower, upper] = middle.map(|offset| offset.abs_diff(latest));
        let median = if lower <= upper { middle[0] } else { middle[1] };
        self.latest_ms = Some(median);
        let time = to_ms(at).saturating_add(median);
        TrueTime(u64::try_from(time).unwrap_or(0))
    }
}
