//! Identity of what may crash backend servers.

use std::{
    fmt,
    str::FromStr, //
};

use crate::UnitError;
use crate::number::{
    FingerprintId,
    SegmentId, //
};

/// Prefix of the text form of a segment.
const SEGMENT_PREFIX: &str = "segment-";

/// A request, or a segment of prompts that several requests share. Segments are ordered before
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectId {
    /// Shared segment of prompts.
    Segment(SegmentId),
    /// Request with all that it holds.
    Request(FingerprintId),
}

impl SuspectId {
    /// Returns whether the suspect is a segment of prompts.
    pub fn is_segment(self) -> bool {
        matches!(self, Self::Segment(_))
    }
}

impl From<FingerprintId> for SuspectId {
    fn from(fingerprint: FingerprintId) -> Self {
        Self::Request(fingerprint)
    }
}

impl From<SegmentId> for SuspectId {
    fn from(segment: SegmentId) -> Self {
        Self::Segment(segment)
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(segment) => write!(f, "{SEGMENT_PREFIX}{segment}"),
            Self::Request(fingerprint) => fingerprint.fmt(f),
        }
    }
}

impl FromStr for SuspectId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.strip_prefix(SEGMENT_PREFIX) {
            Some(segment) => segment.parse().map(Self::Segment),
            None => text.parse().map(Self::Request),
        }
    }
}
