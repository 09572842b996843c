//! Exponentially weighted rate of offered work.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the average.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// An exponentially weighted moving rate in units per millisecond.
#[derive(Debug, Clone, Copy, Default)]
pub struct OfferedRate {
    per_ms: f64,
    updated: Option<Instant>,
}

impl OfferedRate {
    /// Adds an amount of work that arrived at `now`.
    pub fn add(&mut self, now: Instant, amount: f64) {
        self.per_ms = self.per_ms(now) + amount / (RATE_WINDOW.as_secs_f64() * 1_000.0);
        self.updated = Some(now);
    }

    /// Returns the rate at `now` in units per millisecond.
    pub fn per_ms(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        self.per_ms * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Returns whether no work was ever added.
    pub fn has_no_samples(&self) -> bool {
        self.updated.is_none()
    }
}
