//! Time that an engine needs for prefill work, while a deviation from its lasting speed may go on.

/// Time in milliseconds for which a deviation is expected to go on.
const REMAINING_DEVIATION_MS: f64 = 300.0;

/// Expected pace of an engine beside the mean of the engines of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PrefillPace {
    /// Lasting speed as a multiple of the mean.
    pub(crate) relative_speed: f64,
    /// Ratio of the time that the engine takes at the moment to that in the long run.
    pub(crate) slowdown: f64,
}

impl PrefillPace {
    /// Returns the time for work that takes `mean_ms` at the mean speed. Of a long queue, only the part
    /// that is prefilled during the deviation is delayed by it.
    pub(crate) fn time_ms(self, mean_ms: f64) -> f64 {
        let lasting_ms = mean_ms / self.relative_speed;
        let whole_ms = lasting_ms * (self.slowdown - 1.0);
        let most_ms = REMAINING_DEVIATION_MS * (1.0 - 1.0 / self.slowdown);
        let change_ms = if self.slowdown > 1.0 {
            whole_ms.min(most_ms)
        } else {
            whole_ms.max(most_ms)
        };
        (lasting_ms + change_ms).max(0.0)
    }
}
