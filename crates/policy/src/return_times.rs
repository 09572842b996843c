//! Times at which refused callers are asked to come back.

use std::time::Duration;

use tokio::time::Instant;

/// Latest time at which a refused caller is asked to come back.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// Times at which refused callers are asked to come back, spread at the rate at which they can be served.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReturnTimes {
    /// When the caller that was refused last may come back.
    last: Option<Instant>,
}

impl ReturnTimes {
    /// Returns the delay after which a refused caller may come back, once the callers refused before it
    /// have been served.
    ///
    /// `rate` is the number of callers that can be served each second. `jitter`, from 0 to 1, is drawn at
    /// random and keeps the callers of several gateways apart.
    pub(crate) fn next_delay(
        &mut self,
        now: Instant,
        wait: Duration,
        rate: f64,
        jitter: f64,
    ) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETURN_DELAY);
        let interval = interval.min(MAX_RETURN_DELAY);
        let earliest = now + wait.min(MAX_RETURN_DELAY);
        let next = self.last.map_or(earliest, |at| at + interval);
        let mut due = next.max(earliest);
        if due > now + MAX_RETURN_DELAY {
            // The times start over, since many callers will not come back.
            due = earliest;
        }
        self.last = Some(due);
        due - now + interval.mul_f64(jitter)
    }
}
