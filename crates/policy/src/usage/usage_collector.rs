//! What all gateways have counted, as far as this gateway has been told. Counts of a gateway that is gone
//! stay.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use units::{
    AccountName,
    IncarnationId,
    InstanceId,
    UsageWindow, //
};

use crate::{
    AccountUsage,
    TrueTime,
    UsageChanges, //
};

/// Maximum number of runs of gateways whose counts are kept.
const MAX_RUNS: usize = 4_096;
/// Maximum number of counts that are kept of one run of a gateway.
const MAX_COUNTS_PER_RUN: usize = 20_000;

/// Run of a gateway that counts, and the time for which it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageSource {
    /// The gateway.
    pub gateway: InstanceId,
    /// Its run.
    pub incarnation: IncarnationId,
    /// When it began to count.
    pub since: TrueTime,
    /// Up to when it has counted.
    pub until: TrueTime,
}

#[derive(Debug, Clone)]
struct CollectedRun {
    since: TrueTime,
    until: TrueTime,
    /// Number of the latest change that is known with all before it.
    received: u64,
    counts: BTreeMap<(UsageWindow, AccountName), u64>,
}

/// Counts of the runs of all gateways, by window and account.
#[derive(Debug, Clone, Default)]
pub struct UsageCollector {
    runs: BTreeMap<(InstanceId, IncarnationId), CollectedRun>,
}

impl UsageCollector {
    /// Takes over what a gateway has counted. Counts only grow, so that messages may come twice and in any
    /// order. Returns the number of the latest change that is known with all before it.
    pub fn merge(&mut self, source: UsageSource, changes: &UsageChanges) -> u64 {
        let key = (source.gateway, source.incarnation);
        if self.runs.len() >= MAX_RUNS && !self.runs.contains_key(&key) {
            return 0;
        }
        let run = self.runs.entry(key).or_insert_with(|| CollectedRun {
            since: source.since,
            until: source.since,
            received: 0,
            counts: BTreeMap::new(),
        });
        run.since = source.since;
        for entry in &changes.entries {
            let key = (entry.window, entry.account.clone());
            if run.counts.len() >= MAX_COUNTS_PER_RUN && !run.counts.contains_key(&key) {
                continue;
            }
            let count = run.counts.entry(key).or_default();
            *count = entry.count.max(*count);
        }
        if changes.base <= run.received {
            run.received = run.received.max(changes.number);
            if changes.is_whole {
                run.until = run.until.max(source.until);
            }
        }
        run.received
    }

    /// Removes the windows before `oldest`, and the runs that have counted nothing since `start`, when it
    /// begins.
    pub fn expire(&mut self, oldest: UsageWindow, start: TrueTime) {
        for run in self.runs.values_mut() {
            run.counts.retain(|(window, _), _| *window >= oldest);
        }
        self.runs
            .retain(|_, run| run.until >= start || !run.counts.is_empty());
    }

    /// Returns the requests of all gateways that began to run in a window.
    pub fn usage(&self, window: UsageWindow) -> AccountUsage {
        let mut usage = AccountUsage::new();
        for run in self.runs.values() {
            let counts = run.counts.iter();
            for ((_, account), count) in counts.filter(|((counted, _), _)| *counted == window) {
                let total = usage.entry(account.clone()).or_default();
                *total = total.saturating_add(*count);
            }
        }
        usage
    }

    /// Returns the gateways among `members` that may still tell of requests which began between `start` and
    /// `end`. One that has been silent since before `start` is not expected to.
    pub fn awaited<'a>(
        &self,
        members: impl IntoIterator<Item = &'a InstanceId>,
        start: TrueTime,
        end: TrueTime,
    ) -> BTreeSet<InstanceId> {
        let mut counted: BTreeMap<&InstanceId, TrueTime> = BTreeMap::new();
        for ((gateway, _), run) in &self.runs {
            let until = counted.entry(gateway).or_default();
            *until = run.until.max(*until);
        }
        let members = members.into_iter();
        let awaited = members.filter(|member| {
            let until = counted.get(member);
            until.is_none_or(|until| (start..end).contains(until))
        });
        awaited.cloned().collect()
    }

    /// Returns whether some gateway has counted from `start` up to `end`, so that the window between is not
    /// one in which all of them were lost.
    pub fn has_counted(&self, start: TrueTime, end: TrueTime) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.since <= start && run.until >= end)
    }
}
