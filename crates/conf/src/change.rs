//! History entries of the configuration.

use serde::{
    Deserialize,
    Serialize, //
};
use units::ConfigVersion;

/// Accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version that the change produced.
    pub version: ConfigVersion,
    /// Random id that the operator's command gave the write, to recognize the write when its reply is
    /// lost.
    pub write_id: String,
    /// Summary of the change.
    pub note: String,
}
