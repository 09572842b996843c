//! Counts of requests by account, of which only the largest are published.

use std::collections::BTreeMap;

use units::AccountName;

use crate::AccountTable;

/// Requests of one account since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountCount {
    /// Requests whose caller presented a key of the account.
    pub requests: u64,
    /// Requests among them that were refused or failed.
    pub refusals: u64,
}

/// Counts of all accounts of the configuration.
#[derive(Debug, Clone, Default)]
pub struct AccountCounts {
    counts: BTreeMap<AccountName, AccountCount>,
}

impl AccountCounts {
    /// Counts a request of an account.
    pub fn record_request(&mut self, account: &AccountName) {
        self.count_mut(account).requests += 1;
    }

    /// Counts a request of an account that was refused or failed.
    pub fn record_refusal(&mut self, account: &AccountName) {
        self.count_mut(account).refusals += 1;
    }

    fn count_mut(&mut self, account: &AccountName) -> &mut AccountCount {
        self.counts.entry(account.clone()).or_default()
    }

    /// Drops the accounts that the configuration no longer holds.
    pub fn retain_accounts(&mut self, table: &AccountTable) {
        self.counts.retain(|account, _| table.contains(account));
    }

    /// Returns the accounts with the most requests, the largest first.
    pub fn largest(&self, limit: usize) -> Vec<(&AccountName, AccountCount)> {
        let mut ranked: Vec<_> = self
            .counts
            .iter()
            .map(|(name, count)| (name, *count))
            .collect();
        ranked.sort_unstable_by_key(|(name, count)| (u64::MAX - count.requests, *name));
        ranked.truncate(limit);
        ranked
    }
}
