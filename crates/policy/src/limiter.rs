//! Limits each account's rate of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::AccountName;

/// Accounts whose recent use is remembered at most.
const ACCOUNT_LIMIT: usize = 10_000;

/// Rate and burst of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

#[derive(Debug, Clone, Copy)]
struct AccountBucket {
    level: f64,
    at: Instant,
}

/// A token bucket for each account that was seen lately.
#[derive(Debug, Clone, Default)]
pub struct AccountLimiter {
    buckets: BTreeMap<AccountName, AccountBucket>,
}

impl AccountLimiter {
    /// Takes one request, or says how long to wait.
    pub fn take(
        &mut self,
        now: Instant,
        account: &AccountName,
        limit: AccountLimit,
    ) -> Result<(), Duration> {
        if self.buckets.len() >= ACCOUNT_LIMIT && !self.buckets.contains_key(account) {
            self.forget_full(now, limit);
        }
        let full = AccountBucket {
            level: limit.burst,
            at: now,
        };
        let bucket = self.buckets.entry(account.clone()).or_insert(full);
        let elapsed = now.saturating_duration_since(bucket.at).as_secs_f64();
        bucket.level = (bucket.level + elapsed * limit.rate).min(limit.burst);
        bucket.at = now;
        if bucket.level < 1.0 {
            let missing = (1.0 - bucket.level) / limit.rate;
            return Err(Duration::from_secs_f64(missing));
        }
        bucket.level -= 1.0;
        Ok(())
    }

    fn forget_full(&mut self, now: Instant, limit: AccountLimit) {
        let refill = limit.burst / limit.rate;
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.at).as_secs_f64() < refill);
        if self.buckets.len() >= ACCOUNT_LIMIT {
            self.buckets.pop_first();
        }
    }
}
