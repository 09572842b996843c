//! Limits the retries of one entry to a share of its requests.

/// Retries earned by each request.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Number of retries that can be saved up and spent in a burst.
const BUCKET_CAPACITY: f64 = 20.0;

/// Token bucket that each request fills and each retry drains.
#[derive(Debug, Clone)]
pub struct RetryBucket {
    tokens: f64,
}

impl RetryBucket {
    /// Creates a full bucket.
    pub fn new() -> Self {
        Self {
            tokens: BUCKET_CAPACITY,
        }
    }

    /// Adds the tokens earned by one request, up to the capacity.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(BUCKET_CAPACITY);
    }

    /// Removes the token for one retry and returns true, or returns false if less than one token is
    /// left.
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
