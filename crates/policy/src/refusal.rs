//! Reasons for which work is refused before it runs.

use std::fmt;

/// Why a job was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would miss the start target of its class.
    WouldMissTarget,
    /// Too many jobs wait.
    QueueFull,
    /// The backend server takes no new work.
    Leaving,
    /// The prompt and its output exceed the engine's memory.
    TooLarge,
    /// It crashed backend servers and is kept out.
    Quarantined,
    /// The engine does not answer.
    EngineDown,
}

impl RefusalReason {
    /// The reason's name in logs and answers.
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
