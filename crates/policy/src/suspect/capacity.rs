//! Bounds on the evidence that a registry holds.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use tokio::time::Instant;
use units::SuspectId;

use super::SuspectRegistry;
use super::crash::{
    CrashId,
    ServerCrash, //
};
use super::ends::OTHER_CRASHES_WINDOW;

/// Maximum number of suspects in the registry.
const SUSPECT_LIMIT: usize = 10_000;
/// Maximum number of crashes in the registry.
const CRASH_RECORD_LIMIT: usize = 10_000;
/// Number of suspects removed at once, since the search for them reads all records.
const EVICTION_COUNT: usize = SUSPECT_LIMIT / 16;

impl SuspectRegistry {
    /// Makes room for further records. Of those that are current, the ones with the fewest crashes are
    /// removed first, and requests before segments.
    pub(super) fn evict(&mut self, now: Instant) {
        if self.records.len() >= SUSPECT_LIMIT {
            for suspect in self.expired(now) {
                self.records.remove(&suspect);
            }
        }
        if self.records.len() >= SUSPECT_LIMIT {
            let records = self.records.iter();
            let mut suspects: Vec<(usize, Reverse<SuspectId>)> = records
                .map(|(suspect, record)| (record.crashes.len(), Reverse(*suspect)))
                .collect();
            suspects.sort_unstable();
            for (_, Reverse(suspect)) in suspects.into_iter().take(EVICTION_COUNT) {
                self.records.remove(&suspect);
            }
        }
        if self.crashes.len() >= CRASH_RECORD_LIMIT {
            let records = self.records.values();
            let used: BTreeSet<CrashId> = records.flat_map(|r| r.crashes.clone()).collect();
            let is_recent = |crash: &ServerCrash| now < crash.at + OTHER_CRASHES_WINDOW;
            self.crashes
                .retain(|id, crash| used.contains(id) || is_recent(crash));
        }
    }
}
