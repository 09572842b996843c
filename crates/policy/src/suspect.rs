//! Tracks what may crash backend servers: evidence, verdict and expiry.
//!
//! A suspect is a request, a segment that several prompts share, or a session's own segment. One that crashes servers crashes
//! each one that runs it. A complete run, or a server that outlives the run, therefore shows that it is
//! none of them.

mod capacity;
mod completions;
mod crash;
mod ends;
mod evidence;
mod judgement;
mod limits;
mod record;
mod verdict;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::SuspectId;

use completions::CompletionTable;
pub use crash::CrashId;
pub use crash::CrashState;
pub use crash::ServerCrash;
pub use evidence::SuspectEvidence;
pub use limits::SuspectLimits;
use record::{
    COMPLETION_NEWS,
    INNOCENCE_DURATION,
    SuspectRecord, //
};
pub use verdict::SuspectVerdict;

/// Time after the latest crash or trial for which evidence is kept.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Records which requests and segments were running on backend servers when these crashed.
#[derive(Debug, Clone)]
pub struct SuspectRegistry {
    limits: SuspectLimits,
    crashes: BTreeMap<CrashId, ServerCrash>,
    /// Crashes whose process has answered since, though too early to show that it lives on.
    answered: BTreeSet<CrashId>,
    records: BTreeMap<SuspectId, SuspectRecord>,
    completions: CompletionTable,
}

impl SuspectRegistry {
    /// Creates an empty registry.
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            crashes: BTreeMap::new(),
            answered: BTreeSet::new(),
            records: BTreeMap::new(),
            completions: CompletionTable::default(),
        }
    }

    /// Returns the id of a known crash that was observed at the same time. A later observation of the
    /// same end has an id of its own, since the process may have outlived the earlier one only.
    pub fn known_crash(&self, crash: &ServerCrash) -> Option<CrashId> {
        let mut known = self.crashes.values();
        let found = known.find(|known| known.counts() && known.is_same_observation(crash));
        found.map(|known| known.id)
    }

    /// Records a crash and what was running on the backend server.
    ///
    /// Returns false if the crash was already recorded and is no news about any of these suspects.
    pub fn record_crash<S: Copy + Into<SuspectId>>(
        &mut self,
        now: Instant,
        crash: ServerCrash,
        suspects: &[S],
    ) -> bool {
        let is_new = !self.crashes.contains_key(&crash.id);
        let suspects = suspects.iter().map(|suspect| (*suspect).into());
        let concerned = self.record_observation(now, crash, suspects);
        is_new || !concerned.is_empty()
    }

    /// Records a crash and what was running on the backend server. Returns the suspects against which
    /// it is new evidence. A crash of one that is known to crash nothing is none.
    pub fn record_observation(
        &mut self,
        now: Instant,
        crash: ServerCrash,
        suspects: impl IntoIterator<Item = SuspectId>,
    ) -> Vec<SuspectId> {
        self.evict(now);
        let crashes = [crash];
        self.merge_crashes(&crashes);
        let [crash] = crashes;
        let mut concerned = Vec::new();
        for suspect in suspects {
            let completed_at = self.completions.get(suspect);
            if completed_at.is_some_and(|at| crash.at < at + INNOCENCE_DURATION)
                && !self.records.contains_key(&suspect)
            {
                continue;
            }
            let was_recorded = self.is_recorded(crash.id, suspect);
            let mut evidence = SuspectEvidence::new(suspect);
            evidence.crashes.push(crash.clone());
            self.merge_record(&evidence);
            if !was_recorded && self.is_recorded(crash.id, suspect) {
                concerned.push(suspect);
            }
        }
        concerned
    }

    fn is_recorded(&self, crash: CrashId, suspect: SuspectId) -> bool {
        let record = self.records.get(&suspect);
        record.is_some_and(|record| record.crashes.contains(&crash))
    }

    /// Merges evidence on one suspect. Returns whether it adds to what is known.
    pub fn merge(&mut self, now: Instant, evidence: &SuspectEvidence) -> bool {
        self.evict(now);
        let has_new_crash = self.merge_crashes(&evidence.crashes);
        self.merge_record(evidence) || has_new_crash
    }

    /// Merges evidence whose crashes are known. Returns whether the record says more than before.
    fn merge_record(&mut self, evidence: &SuspectEvidence) -> bool {
        let suspect = evidence.suspect;
        let completed_at = evidence.completed_at.max(self.completions.get(suspect));
        let before = self.records.get(&suspect).cloned();
        let mut record = before.clone().unwrap_or_default();
        record.completed_at = record.completed_at.max(completed_at);
        let crashes = evidence.crashes.iter().map(|crash| crash.id);
        record.crashes.extend(crashes);
        record.trials = record.trials.max(evidence.trials);
        record.trial_at = record.trial_at.max(evidence.trial_at);
        record.void_completed(&self.crashes);
        if before.is_none() && record.crashes.is_empty() && record.completed_at.is_none() {
            return false;
        }
        let has_changed = record.differs_from(&before.unwrap_or_default());
        self.records.insert(suspect, record);
        has_changed
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

    /// Records what became of the process of a presumed crash. Returns the suspects that the change
    /// concerns.
    pub fn record_state(&mut self, crash: CrashId, state: CrashState) -> Vec<SuspectId> {
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
        concerned.map(|(suspect, _)| *suspect).collect()
    }

    /// Records a complete run, which clears a suspect. Returns the number of crashes that were recorded
    /// for it.
    pub fn record_completed(&mut self, now: Instant, suspect: impl Into<SuspectId>) -> usize {
        let suspect = suspect.into();
        let is_session = matches!(suspect, SuspectId::Session(_));
        let Some(record) = self.records.get_mut(&suspect) else {
            // Sessions are too many to remember each one that is answered.
            if is_session {
                return 0;
            }
            let known = self.completions.get(suspect);
            let is_recent = known.is_some_and(|at| now < at + COMPLETION_NEWS);
            // Answers on a shared segment follow each other all the time.
            if !(suspect.is_shared_segment() && is_recent) {
                self.completions.insert(now, suspect);
            }
            return 0;
        };
        if !is_session {
            self.completions.insert(now, suspect);
        }
        let crash_count = record.crashes.len();
        record.completed_at = Some(now);
        record.void_completed(&self.crashes);
        crash_count
    }

    /// Records that a suspect runs once more in spite of its crashes.
    pub fn record_trial(&mut self, now: Instant, suspect: impl Into<SuspectId>) {
        if let Some(record) = self.records.get_mut(&suspect.into()) {
            record.trials += 1;
            record.trial_at = Some(now);
        }
    }

    /// Returns whether a suspect has met crashes of several servers, whatever became of these. Evidence
    /// of a single crash is common and mostly soon cleared.
    pub fn has_repeated_crashes(&self, suspect: impl Into<SuspectId>) -> bool {
        let record = self.records.get(&suspect.into());
        record.is_some_and(|record| record.crashes.len() > 1)
    }

    /// Returns the evidence on a suspect, or `None` if there is none.
    pub fn evidence(&self, suspect: impl Into<SuspectId>) -> Option<SuspectEvidence> {
        let suspect = suspect.into();
        let record = self.records.get(&suspect)?;
        let crashes = record.crashes.iter();
        let crashes = crashes.filter_map(|id| self.crashes.get(id).cloned());
        Some(SuspectEvidence {
            suspect,
            crashes: crashes.collect(),
            completed_at: record.completed_at,
            trials: record.trials,
            trial_at: record.trial_at,
        })
    }

    /// Removes all evidence on a suspect.
    pub fn remove(&mut self, suspect: impl Into<SuspectId>) {
        self.records.remove(&suspect.into());
    }

    /// Returns whether more is known about a suspect with repeated crashes than `evidence` says.
    pub fn adds_to(&self, evidence: &SuspectEvidence) -> bool {
        let Some(record) = self.records.get(&evidence.suspect) else {
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

    /// Returns whether the evidence on a suspect has no effect any more.
    pub fn is_expired(&self, now: Instant, suspect: impl Into<SuspectId>) -> bool {
        let record = self.records.get(&suspect.into());
        record.is_none_or(|record| !self.is_current(record, now))
    }

    /// Returns the suspects whose evidence has no effect any more.
    pub fn expired(&self, now: Instant) -> Vec<SuspectId> {
        let records = self.records.iter();
        let expired = records.filter(|(_, record)| !self.is_current(record, now));
        expired.map(|(suspect, _)| *suspect).collect()
    }

    fn is_current(&self, record: &SuspectRecord, now: Instant) -> bool {
        let crashes = record.crashes.iter().filter_map(|id| self.crashes.get(id));
        let last_crash = crashes.map(|crash| crash.at).max();
        let last = last_crash.max(record.trial_at);
        last.is_some_and(|at| now < at + EVIDENCE_RETENTION) || record.is_innocent(now)
    }
}
