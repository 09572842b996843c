//! Bounds retries to a share of the requests.

/// Retries allowed for each request.
const RETRY_SHARE: f64 = 0.2;
/// Retries that may come at once.
const RETRY_BURST: f64 = 20.0;

/// Earns a share of a retry with each request and spends one with each retry.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> Self {
        Self { saved: RETRY_BURST }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Spends a retry; false when none is left.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
