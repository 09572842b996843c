//! Whether a backend server may get a request now.

use tokio::time::Instant;

use crate::RestState;
use crate::fleet::BackendView;

/// Why a backend server gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailability {
    /// Its entry says that it drains.
    Draining,
    /// Its process has said in an answer that it leaves.
    Leaving,
    /// Its process has turned this gateway away until then.
    Resting(Instant),
    /// Its process has rested, and has as many requests as it may have so soon after.
    Starting,
    /// There is no token for its limit.
    WithoutToken,
}

impl Unavailability {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Resting(_) => "resting",
            Self::Starting => "starting",
            Self::WithoutToken => "without_token",
        }
    }
}

impl BackendView {
    /// Returns why the backend server gets no request now, or `None` if it may get one.
    ///
    /// A server that is paused or silent is no candidate only while others are, which depends on the
    /// others; see [`crate::BackendFleet::usable`].
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        if self.record.draining {
            return Some(Unavailability::Draining);
        }
        if self.is_leaving() {
            return Some(Unavailability::Leaving);
        }
        match self.rest.state(now, self.own_load.requests) {
            RestState::Resting(until) => Some(Unavailability::Resting(until)),
            RestState::Starting => Some(Unavailability::Starting),
            RestState::Awake if !self.limit.has_token(now) => Some(Unavailability::WithoutToken),
            RestState::Awake => None,
        }
    }
}
