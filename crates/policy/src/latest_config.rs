//! Latest configuration that a process has received.

use bytes::Bytes;
use units::ConfigVersion;

/// Configuration document with the highest version received. A lower version never replaces it.
#[derive(Debug, Clone, Default)]
pub struct LatestConfig {
    version: ConfigVersion,
    document: Bytes,
}

impl LatestConfig {
    /// Returns the current version, or 0 before the first document.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the current document.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Replaces the document if `version` is higher than the current one. Returns whether the
    /// document was replaced.
    pub fn update(&mut self, version: ConfigVersion, document: Bytes) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.document = document;
        true
    }
}
