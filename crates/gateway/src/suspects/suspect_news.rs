//! Evidence on crash suspects that has yet to reach the peers and the store.

use std::collections::BTreeMap;

use std::sync::Arc;

use policy::CrashId;
use tokio::sync::Mutex;
use tokio::time::Instant;
use units::{
    InstanceId, //
    SuspectId,
};

/// Number of load reports that carry the same evidence, since datagrams get lost.
const REPORT_REPEATS: u32 = 3;
/// Maximum number of suspects in one load report.
const MAX_REPORTED_SUSPECTS: usize = 32;
/// Maximum size of the evidence in one load report, which peers receive together with the loads.
const MAX_REPORTED_BYTES: usize = 8 * 1024;
/// Maximum number of suspects that wait to be reported. The store tells peers about the others.
const MAX_WAITING_SUSPECTS: usize = 512;

/// Result of a probe of a server that has fallen silent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SilenceProbe {
    pub(crate) at: Instant,
    pub(crate) is_alive: bool,
}

/// Write of a suspect's record to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingWrite {
    pub(crate) due: Instant,
    /// Whether other gateways come first, whose records may make this write needless.
    pub(crate) awaits_turn: bool,
}

impl PendingWrite {
    /// Returns a write that only this gateway makes.
    pub(crate) fn own(due: Instant) -> Self {
        Self {
            due,
            awaits_turn: false,
        }
    }
}

/// Suspects whose evidence has changed, and what is known of their records in the store.
#[derive(Debug, Default)]
pub(crate) struct SuspectNews {
    /// Remaining reports to the peers.
    unreported: BTreeMap<SuspectId, u32>,
    /// Suspects whose records in the store lack evidence, and when the evidence is to be written.
    unwritten: BTreeMap<SuspectId, PendingWrite>,
    /// Revisions of the records in the store.
    revisions: BTreeMap<SuspectId, u64>,
    /// Latest probe of each silent server, with its time and whether the server answered.
    pub(crate) silence_probes: BTreeMap<InstanceId, Arc<Mutex<Option<SilenceProbe>>>>,
    /// Time of the latest probe for each crash.
    pub(crate) probes: BTreeMap<CrashId, Instant>,
}

impl SuspectNews {
    /// Queues a suspect for the peers. `is_repeated` is false for evidence that a single report may
    /// carry, since the store has it too.
    pub(crate) fn report(&mut self, suspect: SuspectId, is_repeated: bool) {
        if self.unreported.len() < MAX_WAITING_SUSPECTS || is_repeated {
            let repeats = if is_repeated { REPORT_REPEATS } else { 1 };
            self.unreported.insert(suspect, repeats);
        }
    }

    /// Queues a suspect for the store, no later than it is queued already.
    pub(crate) fn write(&mut self, write: PendingWrite, suspect: SuspectId) {
        let known = self.unwritten.entry(suspect).or_insert(write);
        known.due = write.due.min(known.due);
        known.awaits_turn &= write.awaits_turn;
    }

    /// Removes a suspect whose evidence need not be written.
    pub(crate) fn cancel_write(&mut self, suspect: SuspectId) {
        self.unwritten.remove(&suspect);
    }

    /// Returns when the next evidence is to be written.
    pub(crate) fn next_write(&self) -> Option<Instant> {
        self.unwritten.values().map(|write| write.due).min()
    }

    /// Takes the suspects for the next load report: those with the most crashes first, and segments before
    /// requests.
    pub(crate) fn take_reported(
        &mut self,
        crash_count: impl Fn(SuspectId) -> usize,
        report_bytes: impl Fn(SuspectId) -> usize,
    ) -> Vec<SuspectId> {
        let mut waiting: Vec<SuspectId> = self.unreported.keys().copied().collect();
        waiting.sort_by_key(|suspect| std::cmp::Reverse(crash_count(*suspect)));
        waiting.truncate(MAX_REPORTED_SUSPECTS);
        let mut total_bytes = 0;
        waiting.retain(|suspect| {
            let with_this = total_bytes + report_bytes(*suspect);
            let fits = with_this <= MAX_REPORTED_BYTES;
            if fits {
                total_bytes = with_this;
            }
            fits
        });
        for suspect in &waiting {
            if let Some(remaining) = self.unreported.get_mut(suspect) {
                *remaining -= 1;
            }
        }
        self.unreported.retain(|_, remaining| *remaining > 0);
        waiting
    }

    /// Takes up to `limit` suspects for the next write to the store: those with the most crashes first,
    /// segments before requests, and also those that are not due yet unless they await their turn.
    pub(crate) fn take_unwritten(
        &mut self,
        now: Instant,
        limit: usize,
        crash_count: impl Fn(SuspectId) -> usize,
    ) -> Vec<(SuspectId, PendingWrite)> {
        let unwritten = self.unwritten.iter();
        let ready = unwritten.filter(|(_, write)| write.due <= now || !write.awaits_turn);
        let ready = ready.map(|(suspect, write)| (*suspect, *write));
        let mut waiting: Vec<(SuspectId, PendingWrite)> = ready.collect();
        waiting.sort_by_key(|(suspect, _)| std::cmp::Reverse(crash_count(*suspect)));
        waiting.truncate(limit);
        for (suspect, _) in &waiting {
            self.unwritten.remove(suspect);
        }
        waiting
    }

    /// Returns the revision of a suspect's record in the store, or 0 if it has none.
    pub(crate) fn revision(&self, suspect: SuspectId) -> u64 {
        self.revisions.get(&suspect).copied().unwrap_or(0)
    }

    /// Records the revision of a suspect's record in the store.
    pub(crate) fn set_revision(&mut self, suspect: SuspectId, revision: u64) {
        let known = self.revisions.entry(suspect).or_default();
        *known = revision.max(*known);
    }

    /// Records that the store has no record of a suspect.
    pub(crate) fn clear_revision(&mut self, suspect: SuspectId) {
        self.revisions.remove(&suspect);
    }

    /// Forgets all revisions. Returns the suspects that had records.
    pub(crate) fn void_revisions(&mut self) -> Vec<SuspectId> {
        std::mem::take(&mut self.revisions).into_keys().collect()
    }

    /// Returns the suspects that have records in the store.
    pub(crate) fn recorded(&self) -> Vec<SuspectId> {
        self.revisions.keys().copied().collect()
    }
}
