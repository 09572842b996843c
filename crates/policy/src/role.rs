//! Roles that an engine can take.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize, //
};

/// What an engine spends its steps on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prefill in chunks beside the running streams.
    Mixed,
    /// Prefill alone; streams move on after their first token.
    Prefill,
    /// Running streams alone, with KV cache imported.
    Decode,
}

impl EngineRole {
    /// Every role.
    pub const ALL: [EngineRole; 3] = [Self::Mixed, Self::Prefill, Self::Decode];

    /// The role's name in logs and orders.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Whether an engine of this role takes new prompts.
    pub fn accepts_prompts(self) -> bool {
        self != Self::Decode
    }

    /// Whether an engine of this role generates beyond the first token.
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

/// A text that names no role.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(snafu::Snafu)]
#[snafu(display("no engine role {text:?}; use mixed, prefill or decode"))]
pub struct RoleError {
    text: String,
}
