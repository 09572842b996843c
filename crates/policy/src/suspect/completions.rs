//! Latest complete runs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use tokio::time::Instant;
use units::SuspectId;

/// Number of latest complete runs that are remembered for each kind of suspect.
const COMPLETION_LIMIT: usize = 4_096;

/// Time of the latest complete run of each request and of each segment. The two kinds do not displace
/// each other.
#[derive(Debug, Clone, Default)]
pub(super) struct CompletionTable {
    times: BTreeMap<SuspectId, Instant>,
    requests: BTreeSet<(Instant, SuspectId)>,
    segments: BTreeSet<(Instant, SuspectId)>,
}

impl CompletionTable {
    /// Returns when a suspect last ran completely.
    pub(super) fn get(&self, suspect: SuspectId) -> Option<Instant> {
        self.times.get(&suspect).copied()
    }

    /// Records a complete run. The earliest one of its kind makes room.
    pub(super) fn insert(&mut self, now: Instant, suspect: SuspectId) {
        let order = if suspect.is_shared_segment() {
            &mut self.segments
        } else {
            &mut self.requests
        };
        if let Some(known) = self.times.insert(suspect, now) {
            order.remove(&(known, suspect));
        } else if order.len() >= COMPLETION_LIMIT
            && let Some((_, earliest)) = order.pop_first()
        {
            self.times.remove(&earliest);
        }
        order.insert((now, suspect));
    }
}
