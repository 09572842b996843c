//! Version of the software that a backend server runs.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use crate::UnitError;
use crate::error::{
    EmptyNameSnafu,
    LongNameSnafu, //
};

const KIND: &str = "software version";
const MAX_TEXT_BYTES: usize = 128;

/// Version of a backend server's software. It has no order: two versions are the same or differ.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = UnitError;

    /// Accepts any text of 1 to 128 bytes.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        if text.is_empty() {
            return EmptyNameSnafu { kind: KIND }.fail();
        }
        if text.len() > MAX_TEXT_BYTES {
            let limit = MAX_TEXT_BYTES;
            return LongNameSnafu { kind: KIND, limit }.fail();
        }
        Ok(Self(text.into()))
    }
}
