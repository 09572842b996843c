//! Requests that crash backend servers: first tried alone, then kept out.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::FingerprintId;

/// Time for which a request stays out after its second crash.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Time for which a single crash is remembered.
const SUSPICION_DURATION: Duration = Duration::from_secs(600);
/// Fingerprints remembered at most.
const SUSPECT_LIMIT: usize = 10_000;
/// Crashes after which a request is kept out.
const CRASH_LIMIT: usize = 2;

/// Id of one crash of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId(pub u64);

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Beside others.
    Unrestricted,
    /// Alone on its backend server.
    Isolated,
    /// Not at all, for this long.
    Quarantined(Duration),
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    crashes: BTreeSet<CrashId>,
    last_crash: Instant,
}

/// Remembers which requests ran where backend servers crashed.
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
    /// A register that keeps a request out after this many crashes.
    pub fn with_crash_limit(crash_limit: usize) -> Self {
        Self {
            crash_limit,
            records: BTreeMap::new(),
            recorded: BTreeSet::new(),
        }
    }

    /// Takes a crash with requests that ran there; false when all of it was known already.
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

    /// Clears a request that ran alone and finished.
    pub fn clear(&mut self, fingerprint: FingerprintId) {
        self.records.remove(&fingerprint);
    }

    /// How a request may run now.
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
