//! Bounds retries to a share of the requests.

/// Retries allowed for each request.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that may come at once.
const BUCKET_CAPACITY: f64 = 20.0;

/// Earns a share of a retry with each request and spends one with each retry.
#[derive(Debug, Clone)]
pub struct RetryBucket {
    tokens: f64,
}

impl RetryBucket {
    /// A full budget.
    pub fn new() -> Self {
        Self {
            tokens: BUCKET_CAPACITY,
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(BUCKET_CAPACITY);
    }

    /// Spends a retry; false when none is left.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl Default for RetryBucket {
    fn default() -> Self {
        Self::new()
    }
}
