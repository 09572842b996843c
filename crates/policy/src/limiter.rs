//! Limits the request rate of each account.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::AccountName;

/// Maximum number of accounts with a token bucket.
const BUCKET_LIMIT: usize = 10_000;

/// Rate limit of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Requests allowed per second.
    pub rate: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

#[derive(Debug, Clone, Copy)]
struct AccountBucket {
    tokens: f64,
    updated_at: Instant,
}

/// Token bucket for each account with recent requests.
#[derive(Debug, Clone, Default)]
pub struct AccountLimiter {
    buckets: BTreeMap<AccountName, AccountBucket>,
}

impl AccountLimiter {
    /// Takes the token for one request, or returns the time until a token is available.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        account: &AccountName,
        limit: AccountLimit,
    ) -> Result<(), Duration> {
        if self.buckets.len() >= BUCKET_LIMIT && !self.buckets.contains_key(account) {
            self.evict_full(now, limit);
        }
        let full_bucket = AccountBucket {
            tokens: limit.burst,
            updated_at: now,
        };
        let bucket = self.buckets.entry(account.clone()).or_insert(full_bucket);
        let elapsed = now
            .saturating_duration_since(bucket.updated_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * limit.rate).min(limit.burst);
        bucket.updated_at = now;
        if bucket.tokens < 1.0 {
            let missing = (1.0 - bucket.tokens) / limit.rate;
            return Err(Duration::from_secs_f64(missing));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    fn evict_full(&mut self, now: Instant, limit: AccountLimit) {
        let refill_secs = limit.burst / limit.rate;
        self.buckets
            .retain(|_, b| now.saturating_duration_since(b.updated_at).as_secs_f64() < refill_secs);
        if self.buckets.len() >= BUCKET_LIMIT {
            self.buckets.pop_first();
        }
    }
}
