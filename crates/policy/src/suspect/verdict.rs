//! Restrictions under which a request may run.

use std::time::Duration;

/// Restrictions under which a request may run.
/// A later variant is stricter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectVerdict {
    /// The request may run concurrently with other requests.
    Unrestricted,
    /// The request must be the only one on its backend server.
    Isolated,
    /// The request may run once more, after which the registry must be told of the trial.
    Trial,
    /// The request must not run for the given time.
    Quarantined(Duration),
}

impl SuspectVerdict {
    /// Returns the verdict's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unrestricted => "unrestricted",
            Self::Isolated => "isolated",
            Self::Trial => "trial",
            Self::Quarantined(_) => "quarantined",
        }
    }
}
