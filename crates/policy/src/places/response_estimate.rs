//! Smoothed response time of a service, as TCP estimates round trips.

use std::time::Duration;

/// Weight of one answer in the mean response time.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of one answer in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations added to the mean for a time that most answers keep.
const DEVIATIONS: f64 = 0.5;

/// Mean response time of the latest answers, and their mean deviation from it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResponseEstimate {
    seconds: Option<(f64, f64)>,
    latest: [Option<Duration>; 3],
}

impl ResponseEstimate {
    pub(crate) fn record(&mut self, elapsed: Duration) {
        self.latest.rotate_right(1);
        self.latest[0] = Some(elapsed);
        let elapsed = elapsed.as_secs_f64();
        let (mean, deviation) = self.seconds.get_or_insert((elapsed, elapsed / 4.0));
        *deviation += DEVIATION_WEIGHT * ((elapsed - *mean).abs() - *deviation);
        *mean += MEAN_WEIGHT * (elapsed - *mean);
    }

    /// Returns the mean response time, or `None` before the first answer.
    pub(crate) fn mean(self) -> Option<Duration> {
        let (mean, _) = self.seconds?;
        Duration::try_from_secs_f64(mean).ok()
    }

    /// Returns the shortest of the latest response times. Some calls take long by themselves, while a queue
    /// delays all.
    pub(crate) fn shortest(self) -> Duration {
        let latest = self.latest.iter();
        latest.flatten().min().copied().unwrap_or_default()
    }

    /// Returns a time that most answers keep, or `None` before the first one.
    pub(crate) fn bound(self) -> Option<Duration> {
        let (mean, deviation) = self.seconds?;
        Duration::try_from_secs_f64(mean + DEVIATIONS * deviation).ok()
    }
}
