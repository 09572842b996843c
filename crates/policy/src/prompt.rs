//! A prompt as a chain of parts that requests share.

use std::str::FromStr;

use units::{
    SegmentId,
    TokenCount,
    UnitError, //
};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: SegmentId,
    /// Its tokens.
    pub tokens: TokenCount,
}

/// The parts of a prompt in order; the last one belongs to the request itself or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    parts: Vec<PromptPart>,
}

impl PromptChain {
    /// A chain of parts.
    pub fn new(parts: Vec<PromptPart>) -> Self {
        Self { parts }
    }

    /// The parts in order.
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens.0).sum()
    }

    /// The last part that other requests share, by which requests are kept together.
    pub fn affinity(&self) -> Option<SegmentId> {
        let count = self.parts.len();
        let index = count.saturating_sub(2);
        self.parts.get(index).map(|part| part.id)
    }
}

impl FromStr for PromptChain {
    type Err = UnitError;

    /// Parses `ID:TOKENS` entries separated by commas, ids in hexadecimal.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let mut parts = Vec::new();
        for entry in text.split(',').map(str::trim).filter(|e| !e.is_empty()) {
            let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
            parts.push(PromptPart {
                id: id.parse()?,
                tokens: tokens.parse()?,
            });
        }
        Ok(Self { parts })
    }
}
