//! What a command shows.

use serde::Serialize;

/// A report for people, with the same facts as JSON.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandReport {
    /// Text for people.
    pub text: String,
    /// The same as JSON.
    pub json: serde_json::Value,
}

impl CommandReport {
    /// A report of a value with its text.
    pub(crate) fn new(text: impl Into<String>, value: &impl Serialize) -> Self {
        let json = serde_json::to_value(value).unwrap_or_default();
        Self {
            text: text.into(),
            json,
        }
    }
}
