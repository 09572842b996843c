//! Division of a prompt into prefix segments that requests may share.

use std::str::FromStr;

use units::{
    SegmentId,
    TokenCount,
    UnitError, //
};

/// A segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identity of the segment's content.
    pub id: SegmentId,
    /// Number of tokens.
    pub tokens: TokenCount,
}

/// The segments of a prompt in order. The last segment is specific to the request or its session;
/// those before it may be shared with other requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptLayout {
    segments: Vec<PromptSegment>,
}

impl PromptLayout {
    /// Creates a layout from segments in order.
    pub fn new(segments: Vec<PromptSegment>) -> Self {
        Self { segments }
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> &[PromptSegment] {
        &self.segments
    }

    /// Returns the number of tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens.0).sum()
    }

    /// Returns the ids of the segments that other requests may share: all but the last.
    pub fn shared_segments(&self) -> impl Iterator<Item = SegmentId> {
        let count = self.segments.len().saturating_sub(1);
        let shared = self.segments.iter().take(count);
        shared.map(|segment| segment.id)
    }

    /// Returns the id of the last segment, which belongs to the request or to its session.
    pub fn own_segment(&self) -> Option<SegmentId> {
        self.segments.last().map(|segment| segment.id)
    }

    /// Returns the last shared segment. Requests that share it are sent to the same engine for its
    /// cached prefix. Returns the only segment if there is just one.
    pub fn affinity_segment(&self) -> Option<SegmentId> {
        let count = self.segments.len();
        let index = count.saturating_sub(2);
        self.segments.get(index).map(|segment| segment.id)
    }
}

impl FromStr for PromptLayout {
    type Err = UnitError;

    /// Parses `ID:TOKENS` entries separated by commas, with hexadecimal ids.
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
