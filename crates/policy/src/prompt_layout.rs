//! A prompt as a chain of parts that requests share.

use std::str::FromStr;

use units::{
    PartId,
    TokenCount,
    UnitError, //
};

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identity of the part.
    pub id: PartId,
    /// Its tokens.
    pub tokens: TokenCount,
}

/// The parts of a prompt in order; the last one belongs to the request itself or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptLayout {
    segments: Vec<PromptSegment>,
}

impl PromptLayout {
    /// A chain of parts.
    pub fn new(segments: Vec<PromptSegment>) -> Self {
        Self { segments }
    }

    /// The parts in order.
    pub fn segments(&self) -> &[PromptSegment] {
        &self.segments
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens.0).sum()
    }

    /// The last part that other requests share, by which requests are kept together.
    pub fn affinity_segment(&self) -> Option<PartId> {
        let count = self.segments.len();
        let index = count.saturating_sub(2);
        self.segments.get(index).map(|segment| segment.id)
    }
}

impl FromStr for PromptLayout {
    type Err = UnitError;

    /// Parses `ID:TOKENS` entries separated by commas, ids in hexadecimal.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let mut segments = Vec::new();
        for entry in text.split(',').map(str::trim).filter(|e| !e.is_empty()) {
            let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
            segments.push(PromptSegment {
                id: id.parse()?,
                tokens: tokens.parse()?,
            });
        }
        Ok(Self { segments })
    }
}
