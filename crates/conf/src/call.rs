//! Configuration of the calls of a plain service.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfError;
use crate::check::require_range;

/// Whether a call of a plain service may be retried, and its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallConfig {
    /// Whether a repeated execution does no harm, so that the call may be retried.
    pub idempotent: bool,
    /// Time allowed for an answer, in milliseconds.
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
