//! Settings of the entry process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    DataCentre,
    InstanceId, //
};

use crate::check::{
    require,
    require_range, //
};
use crate::{
    ConfError,
    EntryLimits,
    HexSecret, //
};

/// Settings of an entry, read from a JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Instance that the entry runs on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address on which the entry serves callers.
    pub listen: SocketAddr,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the platform's list of instances.
    pub platform: SocketAddr,
    /// Secret shared by all processes of the system, in hexadecimal.
    pub secret: HexSecret,
    /// Log file. If absent, the entry logs to standard error.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Maximum number of side processes that the entry connects to in each data centre.
    #[serde(default = "default_sides")]
    pub sides_per_data_centre: u32,
    /// Limits on callers.
    #[serde(default)]
    pub limits: EntryLimits,
}

fn default_sides() -> u32 {
    32
}

impl EntrySettings {
    /// Checks the ranges of the settings and that they do not contradict each other.
    pub fn check(&self) -> Result<(), ConfError> {
        self.limits.check()?;
        let sides = self.sides_per_data_centre;
        require_range(sides, 1, 4_096, "sides_per_data_centre")?;
        let is_distinct = self.store != self.listen && self.platform != self.listen;
        let problem = "the address for callers is also the address of a platform service";
        require(
            is_distinct,
            "listen",
            problem,
            "give the entry an address of its own",
        )
    }
}
