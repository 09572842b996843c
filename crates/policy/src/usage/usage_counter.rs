//! Counts of the requests that this gateway has seen begin, and which of them others have been told.

use std::collections::BTreeMap;

use units::{
    AccountName,
    InstanceId,
    UsageWindow, //
};

/// Maximum number of counts that are kept. More accounts than any configuration holds would be needed to
/// exceed it.
const MAX_COUNTS: usize = 100_000;

/// Count of one account in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageEntry {
    /// Window.
    pub window: UsageWindow,
    /// Account.
    pub account: AccountName,
    /// Requests that began to run, from the start of the window on.
    pub count: u64,
}

/// Counts that have changed since what a receiver has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageChanges {
    /// Number of the latest change that the receiver has.
    pub base: u64,
    /// Number of the latest change that it has with these counts.
    pub number: u64,
    /// Whether no further counts have changed.
    pub is_whole: bool,
    /// The counts.
    pub entries: Vec<UsageEntry>,
}

#[derive(Debug, Clone, Copy, Default)]
struct CountedUsage {
    count: u64,
    /// Number of the latest change of the count.
    changed: u64,
}

/// Requests that began to run, by window and account.
#[derive(Debug, Clone, Default)]
pub struct UsageCounter {
    counts: BTreeMap<(UsageWindow, AccountName), CountedUsage>,
    /// Number of changes so far.
    number: u64,
    /// Number of the latest change that each receiver has.
    received: BTreeMap<InstanceId, u64>,
}

impl UsageCounter {
    /// Counts a request that began to run. Returns false if there are too many counts.
    pub fn record(&mut self, window: UsageWindow, account: &AccountName) -> bool {
        let key = (window, account.clone());
        if self.counts.len() >= MAX_COUNTS && !self.counts.contains_key(&key) {
            return false;
        }
        self.number += 1;
        let counted = self.counts.entry(key).or_default();
        counted.count += 1;
        counted.changed = self.number;
        true
    }

    /// Removes the counts of the windows before `oldest`.
    pub fn expire(&mut self, oldest: UsageWindow) {
        self.counts.retain(|(window, _), _| *window >= oldest);
    }

    /// Returns what a receiver is to be told next, up to `limit` counts.
    pub fn changes(&self, receiver: &InstanceId, limit: usize) -> UsageChanges {
        let base = self.received.get(receiver).copied().unwrap_or(0);
        let changed = self.counts.iter().filter(|(_, count)| count.changed > base);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_unstable_by_key(|(_, count)| count.changed);
        let is_whole = changed.len() <= limit;
        let last = changed.iter().take(limit).next_back();
        let last_number = last.map_or(base, |(_, counted)| counted.changed);
        let number = if is_whole { self.number } else { last_number };
        let entries = changed
            .into_iter()
            .take(limit)
            .map(|(key, counted)| UsageEntry {
                window: key.0,
                account: key.1.clone(),
                count: counted.count,
            });
        UsageChanges {
            base,
            number,
            is_whole,
            entries: entries.collect(),
        }
    }

    /// Records that a receiver says to have all changes up to `number`. One that has started again has
    /// fewer than it had.
    pub fn record_receipt(&mut self, receiver: &InstanceId, number: u64) {
        self.received
            .insert(receiver.clone(), number.min(self.number));
    }

    /// Forgets the receivers that fail `is_kept`.
    pub fn retain_receivers(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.received.retain(|receiver, _| is_kept(receiver));
    }

    /// Returns all counts.
    pub fn entries(&self) -> impl Iterator<Item = UsageEntry> {
        self.counts
            .iter()
            .map(|((window, account), counted)| UsageEntry {
                window: *window,
                account: account.clone(),
                count: counted.count,
            })
    }
}
