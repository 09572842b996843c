//! Reasons for which a job is refused before it runs.

use std::fmt;

/// Reason for which a job was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The job would miss the start target of its class.
    WouldMissTarget,
    /// The queue is full.
    QueueFull,
    /// The backend server is draining.
    Leaving,
    /// The prompt and its output exceed the engine's KV cache memory.
    TooLarge,
    /// The job is quarantined because it crashed backend servers.
    Quarantined,
    /// The engine is unresponsive.
    EngineDown,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WouldMissTarget => "would_miss_target",
            Self::QueueFull => "queue_full",
            Self::Leaving => "leaving",
            Self::TooLarge => "too_large",
            Self::Quarantined => "quarantined",
            Self::EngineDown => "engine_down",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
