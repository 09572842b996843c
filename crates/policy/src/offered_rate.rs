//! Rate of offered work, averaged over the last seconds.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// An exponentially weighted rate in units a millisecond.
#[derive(Debug, Clone, Copy, Default)]
pub struct OfferedRate {
    per_ms: f64,
    updated: Option<Instant>,
}

impl OfferedRate {
    /// Counts work.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.per_ms = self.per_ms(now) + amount / (RATE_WINDOW.as_secs_f64() * 1_000.0);
        self.updated = Some(now);
    }

    /// Units a millisecond at a moment.
    pub fn per_ms(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.per_ms * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Whether no work has been seen.
    pub fn has_no_samples(&self) -> bool {
        self.updated.is_none()
    }
}
