//! Keeps the highest configuration version seen; a lower one never comes into force again.

use bytes::Bytes;
use units::ConfigVersion;

/// The configuration document in force and its version.
#[derive(Debug, Clone, Default)]
pub struct LatestConfig {
    version: ConfigVersion,
    document: Bytes,
}

impl LatestConfig {
    /// Version in force, 0 before any.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Document in force.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Takes a document if its version is higher; false when it changes nothing.
    pub fn update(&mut self, version: ConfigVersion, document: Bytes) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.document = document;
        true
    }
}
