//! What is known of a call of a plain service.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfError;
use crate::check::require_range;

/// Whether a call may be repeated, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallConfig {
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time for an answer, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

fn default_timeout() -> u32 {
    5_000
}

impl CallConfig {
    pub(crate) fn check(&self, path: &str) -> Result<(), ConfError> {
        require_range(self.timeout_ms, 10, 600_000, format!("{path}.timeout_ms"))
    }
}
