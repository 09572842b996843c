//! Evidence on one suspect within a registry.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use tokio::time::Instant;

use super::crash::{
    CrashId,
    ServerCrash, //
};

/// Time after a complete run during which crashes do not count against the suspect.
pub(super) const INNOCENCE_DURATION: Duration = Duration::from_secs(600);
/// Difference from which a later complete run is worth telling others.
pub(super) const COMPLETION_NEWS: Duration = Duration::from_secs(300);

#[derive(Debug, Clone, Default)]
pub(super) struct SuspectRecord {
    pub(super) crashes: BTreeSet<CrashId>,
    pub(super) completed_at: Option<Instant>,
    pub(super) trials: u32,
    pub(super) trial_at: Option<Instant>,
}

impl SuspectRecord {
    /// Returns whether crashes do not count against the suspect.
    pub(super) fn is_innocent(&self, now: Instant) -> bool {
        let completed_at = self.completed_at;
        completed_at.is_some_and(|at| now < at + INNOCENCE_DURATION)
    }

    /// Removes the crashes and trials that a complete run of the suspect has voided.
    pub(super) fn void_completed(&mut self, crashes: &BTreeMap<CrashId, ServerCrash>) {
        let Some(completed_at) = self.completed_at else {
            return;
        };
        let counts = |crash: &ServerCrash| crash.at >= completed_at + INNOCENCE_DURATION;
        self.crashes
            .retain(|id| crashes.get(id).is_some_and(counts));
        if self.trial_at <= Some(completed_at) {
            self.trials = 0;
            self.trial_at = None;
        }
    }

    /// Returns whether the record says something that another one does not.
    pub(super) fn differs_from(&self, other: &Self) -> bool {
        let is_news = match (self.completed_at, other.completed_at) {
            (Some(at), Some(known)) => at > known + COMPLETION_NEWS,
            (at, _) => at.is_some(),
        };
        is_news || self.crashes != other.crashes || self.trials != other.trials
    }
}
