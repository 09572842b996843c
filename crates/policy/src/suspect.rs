//! Requests that crash backend servers: first tried alone, then kept out.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::FingerprintId;

/// Time for which a request stays out after its second crash.
const QUARANTINE: Duration = Duration::from_secs(600);
/// Time for which a single crash is remembered.
const SUSPICION: Duration = Duration::from_secs(600);
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
    Free,
    /// Alone on its backend server.
    Alone,
    /// Not at all, for this long.
    Quarantined(Duration),
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    crashes: BTreeSet<CrashId>,
    last: Instant,
}

/// Remembers which requests ran where backend servers crashed.
#[derive(Debug, Clone)]
pub struct SuspectRegister {
    crash_limit: usize,
    records: BTreeMap<FingerprintId, SuspectRecord>,
    known: BTreeSet<(CrashId, FingerprintId)>,
}

impl Default for SuspectRegister {
    fn default() -> Self {
        Self::with_limit(CRASH_LIMIT)
    }
}

impl SuspectRegister {
    /// A register that keeps a request out after this many crashes.
    pub fn with_limit(crash_limit: usize) -> Self {
        Self {
            crash_limit,
            records: BTreeMap::new(),
            known: BTreeSet::new(),
        }
    }

    /// Takes a crash with requests that ran there; false when all of it was known already.
    pub fn crash(&mut self, now: Instant, crash: CrashId, ran: &[FingerprintId]) -> bool {
        self.forget(now);
        let mut is_new = false;
        for fingerprint in ran {
            if !self.known.insert((crash, *fingerprint)) {
                continue;
            }
            is_new = true;
            let fresh = || SuspectRecord {
                crashes: BTreeSet::new(),
                last: now,
            };
            let record = self.records.entry(*fingerprint).or_insert_with(fresh);
            record.crashes.insert(crash);
            record.last = now;
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
            return SuspectVerdict::Free;
        };
        let age = now.saturating_duration_since(record.last);
        if record.crashes.len() >= self.crash_limit && age < QUARANTINE {
            return SuspectVerdict::Quarantined(QUARANTINE - age);
        }
        if age < SUSPICION {
            SuspectVerdict::Alone
        } else {
            SuspectVerdict::Free
        }
    }

    fn forget(&mut self, now: Instant) {
        if self.records.len() < SUSPECT_LIMIT && self.known.len() < SUSPECT_LIMIT {
            return;
        }
        let recent = |last: Instant| now.saturating_duration_since(last) < QUARANTINE;
        self.records.retain(|_, record| recent(record.last));
        let kept = &self.records;
        self.known
            .retain(|(_, fingerprint)| kept.contains_key(fingerprint));
        while self.records.len() >= SUSPECT_LIMIT {
            self.records.pop_first();
        }
    }
}
