//! Output of a command.

use serde::Serialize;

/// Output of a command, both as text and as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandReport {
    /// Human-readable text.
    pub text: String,
    /// Machine-readable form of the output.
    pub json: serde_json::Value,
}

impl CommandReport {
    /// Creates a report from its text and the value that is printed as JSON.
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        let json = serde_json::to_value(value).unwrap_or_default();
        Self {
            text: text.into(),
            json,
        }
    }
}
