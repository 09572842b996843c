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

/// Prefix of the text form of a shared segment.
const SEGMENT_PREFIX: &str = "segment-";
/// Prefix of the text form of a session's own segment.
const SESSION_PREFIX: &str = "session-";

/// A request, or a segment of prompts. Shared segments are ordered before those of sessions, and these
/// before requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SuspectId {
    /// Shared segment of prompts.
    Segment(SegmentId),
    /// Last segment of prompts, which belongs to one request or to all requests of one session.
    Session(SegmentId),
    /// Request with all that it holds.
    Request(FingerprintId),
}

impl SuspectId {
    /// Returns whether the suspect is a segment that requests of several sessions share.
    pub fn is_shared_segment(self) -> bool {
        matches!(self, Self::Segment(_))
    }

    /// Returns whether the suspect is a segment of prompts, shared or a session's own.
    pub fn is_prompt_segment(self) -> bool {
        matches!(self, Self::Segment(_) | Self::Session(_))
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
            Self::Session(segment) => write!(f, "{SESSION_PREFIX}{segment}"),
            Self::Request(fingerprint) => fingerprint.fmt(f),
        }
    }
}

impl FromStr for SuspectId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        if let Some(segment) = text.strip_prefix(SEGMENT_PREFIX) {
            segment.parse().map(Self::Segment)
        } else if let Some(segment) = text.strip_prefix(SESSION_PREFIX) {
            segment.parse().map(Self::Session)
        } else {
            text.parse().map(Self::Request)
        }
    }
}
