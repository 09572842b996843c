//! Presumed end of the process of a backend server.

use std::time::Duration;

use tokio::time::Instant;
use units::{
    IncarnationId,
    InstanceId, //
};

/// Time within which broken connections to one incarnation of a backend server belong to the same
/// crash. A restart takes longer.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Time after the first observation of a crash in which further ones share its id. A later one may be
/// the end of a process that has outlived the first.
const SAME_OBSERVATION_WINDOW: Duration = Duration::from_millis(100);
/// Time for which a process that is about to end may still answer on new connections, after it has
/// broken off the others.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Time in which it turns out whether a server has outlived its presumed crash: the wait before the
/// probe and the probe's timeout.
pub(super) const CONFIRMATION_TIME: Duration = Duration::from_secs(1);

/// Identifier of one crash of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId(pub u64);

/// What is known about the process after its connections broke or fell silent.
///
/// A later variant replaces an earlier one when two observations are merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashState {
    /// The process has not been observed since. Counts as a crash.
    Presumed,
    /// The process no longer listens, or another incarnation has taken its place.
    Confirmed,
    /// The same process has answered since, so that it did not crash.
    Outlived,
}

/// Presumed crash of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCrash {
    /// Identifier, chosen by the process that observed the crash.
    pub id: CrashId,
    /// Backend server.
    pub server: InstanceId,
    /// Incarnation of the backend server, or `None` if it publishes none.
    pub incarnation: Option<IncarnationId>,
    /// Time of the first observation.
    pub at: Instant,
    /// What is known about the process since.
    pub state: CrashState,
}

impl ServerCrash {
    /// Creates a crash that the process beside the backend server has confirmed. The id stands for
    /// the incarnation, since that process assigns one id to each crash.
    pub fn confirmed(id: CrashId, server: InstanceId, at: Instant) -> Self {
        Self {
            id,
            server,
            incarnation: Some(IncarnationId(id.0)),
            at,
            state: CrashState::Confirmed,
        }
    }

    /// Returns whether the process is not known to have outlived the crash.
    pub(crate) fn counts(&self) -> bool {
        self.state != CrashState::Outlived
    }

    /// Returns whether a probe may still show that the process has outlived the crash.
    pub(super) fn is_pending(&self, now: Instant) -> bool {
        self.state == CrashState::Presumed && now < self.at + CONFIRMATION_TIME
    }

    /// Returns the time from which an answer of the process shows that it has outlived the crash,
    /// whenever the latest observation with this id was made.
    pub fn probe_due(&self) -> Instant {
        self.at + SAME_OBSERVATION_WINDOW + LINGER_TIME
    }

    /// Returns whether two observations concern the same end of the same process.
    pub(crate) fn is_same_end(&self, other: &Self) -> bool {
        self.is_near(other, SAME_CRASH_WINDOW)
    }

    /// Returns whether two observations are so close that they share an id.
    pub(crate) fn is_same_observation(&self, other: &Self) -> bool {
        self.is_near(other, SAME_OBSERVATION_WINDOW)
    }

    fn is_near(&self, other: &Self, window: Duration) -> bool {
        let distance = if self.at > other.at {
            self.at - other.at
        } else {
            other.at - self.at
        };
        self.server == other.server && self.incarnation == other.incarnation && distance < window
    }
}
