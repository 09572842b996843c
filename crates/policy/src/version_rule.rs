//! Software versions that may serve a request.

use units::SoftwareVersion;

/// Which software versions may serve a request. What two versions write does not fit together, so that
/// a stream stays with the version that began it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionRule {
    /// Any version, and backend servers that state none.
    #[default]
    Any,
    /// This version only.
    Only(SoftwareVersion),
    /// None. The stream was begun by a backend server that states no version.
    Unmatched,
}

impl VersionRule {
    /// Returns the rule for a stream that a process with this version has begun.
    pub fn begun_by(version: Option<&SoftwareVersion>) -> Self {
        version.map_or(Self::Unmatched, |version| Self::Only(version.clone()))
    }

    /// Returns whether a backend server with this version may serve the request.
    pub fn admits(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => version == Some(required),
            Self::Unmatched => false,
        }
    }

    /// Returns the required version.
    pub fn required(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(version) => Some(version),
            Self::Any | Self::Unmatched => None,
        }
    }
}
