//! Tracks requests that may crash backend servers. A suspect first runs in isolation and is then
//! quarantined.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::FingerprintId;

/// Time for which a request is quarantined after the crash that reaches the crash limit.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Time after the latest crash during which a request below the crash limit must run in isolation.
const SUSPICION_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of requests in the registry. Expired records are evicted once the requests or the
/// recorded crashes reach this number.
const SUSPECT_LIMIT: usize = 10_000;
/// Default number of crashes after which a request is quarantined.
const CRASH_LIMIT: usize = 2;

/// Identifier of one crash of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId(pub u64);

/// Restrictions under which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request may run concurrently with other requests.
    Unrestricted,
    /// The request must be the only one on its backend server.
    Isolated,
    /// The request must not run for the given time.
    Quarantined(Duration),
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    crashes: BTreeSet<CrashId>,
    last_crash: Instant,
}

/// Records which requests were running on backend servers when these crashed.
#[derive(Debug, Clone)]
pub struct SuspectRegistry {
    crash_limit: usize,
    records: BTreeMap<FingerprintId, SuspectRecord>,
    recorded: BTreeSet<(CrashId, FingerprintId)>,
}

impl Default for SuspectRegistry {
    fn default() -> Self {
        Self::with_crash_limit(CRASH_LIMIT)
    }
}

impl SuspectRegistry {
    /// Creates an empty registry that quarantines a request after `crash_limit` crashes.
    pub fn with_crash_limit(crash_limit: usize) -> Self {
        Self {
            crash_limit,
            records: BTreeMap::new(),
            recorded: BTreeSet::new(),
        }
    }

    /// Records a crash and the requests that were running on the backend server.
    ///
    /// Returns false if the crash was already recorded for all of these requests, so that a process
    /// which relays crashes to its peers can stop there.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: CrashId,
        fingerprints: &[FingerprintId],
    ) -> bool {
        self.evict_expired(now);
        let mut is_new = false;
        for fingerprint in fingerprints {
            if !self.recorded.insert((crash, *fingerprint)) {
                continue;
            }
            is_new = true;
            let new_record = || SuspectRecord {
                crashes: BTreeSet::new(),
                last_crash: now,
            };
            let record = self.records.entry(*fingerprint).or_insert_with(new_record);
            record.crashes.insert(crash);
            record.last_crash = now;
        }
        is_new
    }

    /// Returns the number of crashes recorded for a request.
    pub fn crash_count(&self, fingerprint: FingerprintId) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Removes a request that has been shown not to cause crashes. Returns whether crashes were
    /// recorded for it.
    pub fn clear(&mut self, fingerprint: FingerprintId) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Returns the restrictions under which a request may run at `now`.
    pub fn verdict(&self, now: Instant, fingerprint: FingerprintId) -> SuspectVerdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectVerdict::Unrestricted;
        };
        let age = now.saturating_duration_since(record.last_crash);
        if record.crashes.len() >= self.crash_limit && age < QUARANTINE_DURATION {
            return SuspectVerdict::Quarantined(QUARANTINE_DURATION - age);
        }
        if age < SUSPICION_DURATION {
            SuspectVerdict::Isolated
        } else {
            SuspectVerdict::Unrestricted
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        if self.records.len() < SUSPECT_LIMIT && self.recorded.len() < SUSPECT_LIMIT {
            return;
        }
        let is_recent =
            |last_crash: Instant| now.saturating_duration_since(last_crash) < QUARANTINE_DURATION;
        self.records
            .retain(|_, record| is_recent(record.last_crash));
        let records = &self.records;
        self.recorded
            .retain(|(_, fingerprint)| records.contains_key(fingerprint));
        while self.records.len() >= SUSPECT_LIMIT {
            self.records.pop_first();
        }
    }
}
