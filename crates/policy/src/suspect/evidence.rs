//! Everything known about one suspect, as processes share it.

use tokio::time::Instant;
use units::SuspectId;

use super::crash::ServerCrash;

/// Evidence for and against one suspect. Merging is idempotent and independent of the order, so that
/// it may be repeated, relayed and written to a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectEvidence {
    /// What the evidence is about.
    pub suspect: SuspectId,
    /// Crashes of backend servers on which the suspect was running.
    pub crashes: Vec<ServerCrash>,
    /// Time at which a backend server answered it, which shows that it crashes none.
    pub completed_at: Option<Instant>,
    /// Number of runs that were allowed after the crash limit was reached.
    pub trials: u32,
    /// Time of the latest of these runs.
    pub trial_at: Option<Instant>,
}

impl SuspectEvidence {
    /// Creates evidence without any observation.
    pub fn new(suspect: SuspectId) -> Self {
        Self {
            suspect,
            crashes: Vec::new(),
            completed_at: None,
            trials: 0,
            trial_at: None,
        }
    }
}
