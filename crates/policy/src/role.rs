//! Roles of an engine.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize, //
};

/// Kind of work that an engine performs in its steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill in chunks, combined with the decode of running streams.
    Mixed,
    /// Prefill only; streams move to another engine after their first token.
    Prefill,
    /// Decode only, from an imported KV cache.
    Decode,
}

impl EngineRole {
    /// All roles.
    pub const ALL: [EngineRole; 3] = [Self::Mixed, Self::Prefill, Self::Decode];

    /// Returns the name used in logs and orders.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Returns whether an engine of this role accepts prompts to prefill.
    pub fn accepts_prompts(self) -> bool {
        self != Self::Decode
    }

    /// Returns whether an engine of this role generates tokens after the first one.
    pub fn decodes(self) -> bool {
        self != Self::Prefill
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for EngineRole {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        let found = Self::ALL.into_iter().find(|role| role.as_str() == text);
        found.ok_or_else(|| RoleError { text: text.into() })
    }
}

/// Error for a text that is not the name of a role.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("no engine role {text:?}; use mixed, prefill or decode"))]
pub struct RoleError {
    text: String,
}
