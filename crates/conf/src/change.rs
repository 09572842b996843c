//! One accepted change of the configuration.

use serde::{
    Deserialize,
    Serialize, //
};
use units::ConfigVersion;

/// Which write made a version, and what it changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Id of the write, drawn by its operator's command.
    pub write_id: String,
    /// What was changed.
    pub note: String,
}
