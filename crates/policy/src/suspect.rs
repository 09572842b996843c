//! Tracks requests that may crash backend servers: evidence, verdict and expiry.
//!
//! A request that crashes servers crashes each one that runs it. A complete run of the request, or a
//! server that outlives the run, therefore shows that it is none of them.

mod crash;
mod evidence;
mod limits;
mod record;
mod verdict;

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::FingerprintId;

pub use crash::CrashId;
pub use crash::CrashState;
pub use crash::ServerCrash;
pub use evidence::SuspectEvidence;
pub use limits::SuspectLimits;
use record::SuspectRecord;
pub use verdict::SuspectVerdict;

/// Time after the latest crash or trial for which evidence is kept.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Quarantine before each trial run of a request.
const QUARANTINES: [Duration; 3] = [
    Duration::from_secs(600),
    Duration::from_secs(3_600),
    Duration::from_secs(4 * 3_600),
];
/// Quarantine before each trial run of a request whose crashes have another likely cause.
const CONTESTED_QUARANTINES: [Duration; 3] = [
    Duration::from_secs(3),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Time around the crashes of a request in which crashes without it suggest another cause.
const OTHER_CRASHES_WINDOW: Duration = Duration::from_secs(10);
/// Time in which it turns out whether a server has outlived its presumed crash: the wait before the
/// probe and the probe's timeout.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Number of crashes from which those count too whose process has answered, though too early to show
/// that it lives on.
const ANSWERED_CRASH_LIMIT: usize = 6;
/// Time between the turns of processes that may start the same trial, so that each learns of the
/// trials of those before it.
const TRIAL_TURN: Duration = Duration::from_secs(1);
/// Maximum number of requests in the registry.
const SUSPECT_LIMIT: usize = 10_000;
/// Maximum number of crashes in the registry.
const CRASH_RECORD_LIMIT: usize = 10_000;
/// Number of latest complete runs that are remembered.
const COMPLETION_LIMIT: usize = 4_096;

/// Records which requests were running on backend servers when these crashed.
#[derive(Debug, Clone)]
pub struct SuspectRegistry {
    limits: SuspectLimits,
    crashes: BTreeMap<CrashId, ServerCrash>,
    /// Crashes whose process has answered since, though too early to show that it lives on.
    answered: BTreeSet<CrashId>,
    records: BTreeMap<FingerprintId, SuspectRecord>,
    completions: VecDeque<(FingerprintId, Instant)>,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            crashes: BTreeMap::new(),
            answered: BTreeSet::new(),
            records: BTreeMap::new(),
            completions: VecDeque::new(),
        }
    }

    /// Returns the id of a known crash that was observed at the same time. A later observation of the
    /// same end has an id of its own, since the process may have outlived the earlier one only.
    pub fn known_crash(&self, crash: &ServerCrash) -> Option<CrashId> {
        let mut known = self.crashes.values();
        let found = known.find(|known| known.counts() && known.is_same_observation(crash));
        found.map(|known| known.id)
    }

    /// Records a crash and the requests that were running on the backend server.
    ///
    /// Returns false if the crash was already recorded and is no news about any of these requests.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: ServerCrash,
        fingerprints: &[FingerprintId],
    ) -> bool {
        let mut is_new = !self.crashes.contains_key(&crash.id);
        for fingerprint in fingerprints {
            let was_recorded = self.is_recorded(crash.id, *fingerprint);
            let mut evidence = SuspectEvidence::new(*fingerprint);
            evidence.crashes.push(crash.clone());
            self.merge(now, &evidence);
            is_new |= !was_recorded && self.is_recorded(crash.id, *fingerprint);
        }
        is_new
    }

    fn is_recorded(&self, crash: CrashId, fingerprint: FingerprintId) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.crashes.contains(&crash))
    }

    /// Merges evidence on one request. Returns whether it adds to what is known.
    pub fn merge(&mut self, now: Instant, evidence: &SuspectEvidence) -> bool {
        self.evict(now);
        let fingerprint = evidence.fingerprint;
        let has_new_crash = self.merge_crashes(&evidence.crashes);
        let completed_at = evidence.completed_at.max(self.completion_of(fingerprint));
        let before = self.records.get(&fingerprint).cloned();
        let mut record = before.clone().unwrap_or_default();
        record.completed_at = record.completed_at.max(completed_at);
        let crashes = evidence.crashes.iter().map(|crash| crash.id);
        record.crashes.extend(crashes);
        record.trials = record.trials.max(evidence.trials);
        record.trial_at = record.trial_at.max(evidence.trial_at);
        record.void_completed(&self.crashes);
        let before = match before {
            Some(before) => before,
            None if record.crashes.is_empty() && record.completed_at.is_none() => {
                return has_new_crash;
            }
            None => SuspectRecord::default(),
        };
        let has_changed = record.differs_from(&before);
        self.records.insert(fingerprint, record);
        has_changed || has_new_crash
    }

    /// Merges crashes into those known. Returns whether the state of one changed.
    fn merge_crashes(&mut self, crashes: &[ServerCrash]) -> bool {
        let mut has_changed = false;
        for crash in crashes {
            let known = self.crashes.entry(crash.id).or_insert_with(|| {
                has_changed = true;
                crash.clone()
            });
            if crash.state > known.state {
                known.state = crash.state;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Records whether the process of a presumed crash has answered before an answer shows that it lives
    /// on.
    pub fn record_answer(&mut self, crash: CrashId, is_answered: bool) {
        if is_answered {
            self.answered.insert(crash);
        } else {
            self.answered.remove(&crash);
        }
    }

    /// Records what became of the process of a presumed crash. Returns the requests that the change
    /// concerns.
    pub fn record_state(&mut self, crash: CrashId, state: CrashState) -> Vec<FingerprintId> {
        self.answered.remove(&crash);
        let Some(known) = self.crashes.get_mut(&crash) else {
            return Vec::new();
        };
        if state <= known.state {
            return Vec::new();
        }
        known.state = state;
        let concerned = self.records.iter();
        let concerned = concerned.filter(|(_, record)| record.crashes.contains(&crash));
        concerned.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Records a complete run of a request, which clears it. Returns the number of crashes that were
    /// recorded for it.
    pub fn record_completed(&mut self, now: Instant, fingerprint: FingerprintId) -> usize {
        if self.completions.len() >= COMPLETION_LIMIT {
            self.completions.pop_front();
        }
        self.completions.push_back((fingerprint, now));
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return 0;
        };
        let crash_count = record.crashes.len();
        record.completed_at = Some(now);
        record.void_completed(&self.crashes);
        crash_count
    }

    /// Records that a request runs once more in spite of its crashes.
    pub fn record_trial(&mut self, now: Instant, fingerprint: FingerprintId) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trials += 1;
            record.trial_at = Some(now);
        }
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, fingerprint: FingerprintId) -> usize {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| self.ends_of(record).len())
    }

    /// Returns whether a request has met crashes of several servers, whatever became of these. Evidence
    /// of a single crash is common and mostly soon cleared.
    pub fn has_repeated_crashes(&self, fingerprint: FingerprintId) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.crashes.len() > 1)
    }

    /// Returns the evidence on a request, or `None` if there is none.
    pub fn evidence(&self, fingerprint: FingerprintId) -> Option<SuspectEvidence> {
        let record = self.records.get(&fingerprint)?;
        let crashes = record.crashes.iter();
        let crashes = crashes.filter_map(|id| self.crashes.get(id).cloned());
        Some(SuspectEvidence {
            fingerprint,
            crashes: crashes.collect(),
            completed_at: record.completed_at,
            trials: record.trials,
            trial_at: record.trial_at,
        })
    }

    /// Removes all evidence on a request.
    pub fn remove(&mut self, fingerprint: FingerprintId) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether more is known about a request with repeated crashes than `evidence` says.
    pub fn adds_to(&self, evidence: &SuspectEvidence) -> bool {
        let Some(record) = self.records.get(&evidence.fingerprint) else {
            return false;
        };
        if record.crashes.len() < 2 && evidence.crashes.len() < 2 {
            return false;
        }
        let reported = SuspectRecord {
            crashes: evidence.crashes.iter().map(|crash| crash.id).collect(),
            completed_at: evidence.completed_at,
            trials: evidence.trials,
            trial_at: evidence.trial_at,
        };
        let has_later_state = evidence.crashes.iter().any(|crash| {
            let known = self.crashes.get(&crash.id);
            known.is_some_and(|known| known.state > crash.state)
        });
        record.differs_from(&reported) || has_later_state
    }

    /// Returns whether the evidence on a request has no effect any more.
    pub fn is_expired(&self, now: Instant, fingerprint: FingerprintId) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_none_or(|record| !self.is_current(record, now))
    }

    /// Returns the requests whose evidence has no effect any more.
    pub fn expired(&self, now: Instant) -> Vec<FingerprintId> {
        let records = self.records.iter();
        let expired = records.filter(|(_, record)| !self.is_current(record, now));
        expired.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the presumed crashes of a request whose state a probe should find out. Once the
    /// request reaches the crash limit, these include the crashes of other requests in the same
    /// time, which may point to another cause.
    pub fn unconfirmed_crashes(&self, fingerprint: FingerprintId) -> Vec<ServerCrash> {
        let Some(record) = self.records.get(&fingerprint) else {
            return Vec::new();
        };
        let ends = self.ends_of(record);
        if ends.len() < 2 {
            return Vec::new();
        }
        let at_limit = ends.len() >= self.limits.crash_limit;
        let is_relevant = |crash: &&ServerCrash| {
            let is_own = record.crashes.contains(&crash.id);
            crash.state == CrashState::Presumed && (is_own || at_limit && is_near(crash, &ends))
        };
        self.crashes.values().filter(is_relevant).cloned().collect()
    }

    /// Returns the restrictions under which a request may run at `now`.
    ///
    /// `turn` is the number of processes that may start a trial of the request before this one.
    pub fn verdict(&self, now: Instant, fingerprint: FingerprintId, turn: u32) -> SuspectVerdict {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectVerdict::Unrestricted;
        };
        let ends = self.ends_of(record);
        let counted = self.counted_crashes(record);
        let Some(last_end) = counted.clone().map(|crash| crash.at).max() else {
            return SuspectVerdict::Unrestricted;
        };
        if !self.is_current(record, now) {
            return SuspectVerdict::Unrestricted;
        }
        let firm = counted.clone();
        let firm = distinct_ends(firm.filter(|crash| !self.answered.contains(&crash.id)));
        if firm.len() < self.limits.crash_limit && ends.len() < ANSWERED_CRASH_LIMIT {
            return if self.limits.isolates {
                SuspectVerdict::Isolated
            } else {
                SuspectVerdict::Unrestricted
            };
        }
        let mut counted = counted;
        let is_pending = |crash: &ServerCrash| {
            crash.state == CrashState::Presumed && now < crash.at + CONFIRMATION_TIME
        };
        if counted.any(is_pending) {
            return SuspectVerdict::Quarantined(CONFIRMATION_TIME);
        }
        let last = record.trial_at.map_or(last_end, |at| at.max(last_end));
        let due = last + self.quarantine(record, &ends) + TRIAL_TURN * turn;
        if now < due {
            SuspectVerdict::Quarantined(due - now)
        } else {
            SuspectVerdict::Trial
        }
    }

    /// Returns the quarantine after the latest crash or trial of a request at the crash limit.
    fn quarantine(&self, record: &SuspectRecord, ends: &[&ServerCrash]) -> Duration {
        let extra_crashes = ends.len() - self.limits.crash_limit;
        let position = extra_crashes.max(record.trials as usize);
        let quarantines = if self.has_other_cause(record, ends) {
            CONTESTED_QUARANTINES
        } else {
            QUARANTINES
        };
        let quarantine = quarantines.get(position).copied();
        quarantine.unwrap_or(EVIDENCE_RETENTION)
    }

    /// Returns whether the crashes of a request have another likely cause: as many servers crashed
    /// without it in the same time, or another request was running in all of its crashes. A request
    /// that ran in isolation has none.
    fn has_other_cause(&self, record: &SuspectRecord, ends: &[&ServerCrash]) -> bool {
        if self.limits.isolates {
            return false;
        }
        let others = self.crashes.values().filter(|crash| {
            crash.state == CrashState::Confirmed
                && is_near(crash, ends)
                && !ends.iter().any(|end| end.is_same_end(crash))
        });
        let shares_all_ends = |other: &&SuspectRecord| {
            let other_ends = self.ends_of(other);
            ends.iter()
                .all(|end| other_ends.iter().any(|other| other.is_same_end(end)))
        };
        distinct_ends(others).len() >= ends.len()
            || self
                .records
                .values()
                .any(|other| !std::ptr::eq(other, record) && shares_all_ends(&other))
    }

    /// Returns the distinct ends of servers that count against a request.
    fn ends_of<'a>(&'a self, record: &'a SuspectRecord) -> Vec<&'a ServerCrash> {
        distinct_ends(self.counted_crashes(record))
    }

    /// Returns the observations behind these ends.
    fn counted_crashes<'a>(
        &'a self,
        record: &'a SuspectRecord,
    ) -> impl Iterator<Item = &'a ServerCrash> + Clone {
        let crashes = record.crashes.iter().filter_map(|id| self.crashes.get(id));
        crashes.filter(|crash| crash.counts())
    }

    fn completion_of(&self, fingerprint: FingerprintId) -> Option<Instant> {
        let mut completions = self.completions.iter().rev();
        let completion = completions.find(|(known, _)| *known == fingerprint);
        completion.map(|(_, at)| *at)
    }

    fn is_current(&self, record: &SuspectRecord, now: Instant) -> bool {
        let crashes = record.crashes.iter().filter_map(|id| self.crashes.get(id));
        let last_crash = crashes.map(|crash| crash.at).max();
        let last = last_crash.max(record.trial_at);
        last.is_some_and(|at| now < at + EVIDENCE_RETENTION) || record.is_innocent(now)
    }

    /// Makes room for another record. Of the records that are current, those with the fewest crashes
    /// are removed first.
    fn evict(&mut self, now: Instant) {
        if self.records.len() >= SUSPECT_LIMIT {
            for fingerprint in self.expired(now) {
                self.records.remove(&fingerprint);
            }
        }
        if self.records.len() >= SUSPECT_LIMIT {
            let fewest = self.records.iter().min_by_key(|(_, r)| r.crashes.len());
            let fewest = fewest.map(|(fingerprint, _)| *fingerprint);
            fewest.and_then(|fingerprint| self.records.remove(&fingerprint));
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

/// Returns whether a crash happened in the time of others.
fn is_near(crash: &ServerCrash, ends: &[&ServerCrash]) -> bool {
    let first = ends.iter().map(|end| end.at).min();
    let last = ends.iter().map(|end| end.at).max();
    first.is_some_and(|first| crash.at + OTHER_CRASHES_WINDOW >= first)
        && last.is_some_and(|last| crash.at <= last + OTHER_CRASHES_WINDOW)
}

/// Returns one crash for each end of a process.
fn distinct_ends<'a>(crashes: impl Iterator<Item = &'a ServerCrash>) -> Vec<&'a ServerCrash> {
    let mut distinct: Vec<&ServerCrash> = Vec::new();
    for crash in crashes {
        if !distinct.iter().any(|known| known.is_same_end(crash)) {
            distinct.push(crash);
        }
    }
    distinct
}
