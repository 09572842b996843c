//! Limits on the resources that callers may occupy at an entry.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfError;
use crate::check::{
    require,
    require_range, //
};

/// Limits on callers' connections, requests and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Maximum number of open connections from callers.
    pub connections: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u32,
    /// Timeout for receiving the headers of a request, in milliseconds.
    pub header_ms: u32,
    /// Timeout for receiving the body of a request, in milliseconds.
    pub body_ms: u32,
    /// Timeout for a whole answer, in milliseconds.
    pub answer_ms: u32,
    /// Time within which a caller must accept the next chunk of an answer, in milliseconds.
    pub stall_ms: u32,
}

impl EntryLimits {
    pub(crate) fn check(&self) -> Result<(), ConfError> {
        require_range(self.connections, 1, 100_000, "limits.connections")?;
        require_range(self.body_bytes, 1_024, 1_500_000, "limits.body_bytes")?;
        require_range(self.header_ms, 10, 60_000, "limits.header_ms")?;
        require_range(self.body_ms, 10, 300_000, "limits.body_ms")?;
        require_range(self.answer_ms, 100, 3_600_000, "limits.answer_ms")?;
        require_range(self.stall_ms, 10, 600_000, "limits.stall_ms")?;
        let is_consistent = self.stall_ms <= self.answer_ms;
        let problem = "the stall timeout exceeds the timeout of a whole answer";
        require(
            is_consistent,
            "limits.stall_ms",
            problem,
            "lower it to limits.answer_ms or less",
        )
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            connections: 2_000,
            body_bytes: 1_000_000,
            header_ms: 5_000,
            body_ms: 10_000,
            answer_ms: 600_000,
            stall_ms: 20_000,
        }
    }
}
