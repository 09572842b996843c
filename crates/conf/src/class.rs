//! Targets of request classes.

use std::time::Duration;

use policy::ServiceRank;
use serde::{
    Deserialize,
    Serialize, //
};
use units::WorthPoints;

use crate::ConfError;
use crate::check::require_range;

/// Rank, latency targets and worth of a request class.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTarget {
    /// Priority rank of the class.
    pub rank: ServiceRank,
    /// Target time until the first token, in milliseconds.
    #[serde(rename = "start_ms")]
    pub first_token_ms: u32,
    /// Target time between two tokens, in milliseconds.
    #[serde(rename = "gap_ms")]
    pub token_gap_ms: u32,
    /// Share of the requested output tokens, from 0 to 1, after which an interrupted answer is returned
    /// as it is instead of failing. 1 means that only whole answers are returned.
    #[serde(default = "default_completeness")]
    pub completeness: f64,
    /// Worth of one answer, relative to the answers of other classes.
    pub worth: WorthPoints,
}

fn default_completeness() -> f64 {
    1.0
}

impl ClassTarget {
    /// Returns the target time until the first token.
    pub fn first_token_time(&self) -> Duration {
        Duration::from_millis(self.first_token_ms.into())
    }

    /// Returns the target time between two tokens.
    pub fn token_gap(&self) -> Duration {
        Duration::from_millis(self.token_gap_ms.into())
    }

    pub(crate) fn check(&self, path: &str) -> Result<(), ConfError> {
        require_range(
            self.first_token_ms,
            50,
            3_600_000,
            format!("{path}.start_ms"),
        )?;
        require_range(self.token_gap_ms, 5, 60_000, format!("{path}.gap_ms"))?;
        require_range(self.completeness, 0.01, 1.0, format!("{path}.completeness"))?;
        require_range(self.worth.0, 1, 1_000_000, format!("{path}.worth"))
    }
}
