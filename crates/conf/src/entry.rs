//! Settings of an entry daemon.

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

/// Settings of an entry daemon, from its JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Instance that the entry runs on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Address of the platform's list of instances.
    pub platform: SocketAddr,
    /// Secret shared by the system's processes, in hexadecimal.
    pub secret: HexSecret,
    /// File for log lines; standard error when absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Backend servers that this entry connects to in each data centre, at most.
    #[serde(default = "default_sides")]
    pub sides_per_data_centre: u32,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: EntryLimits,
}

fn default_sides() -> u32 {
    32
}

impl EntrySettings {
    /// Checks ranges and contradictions.
    pub fn check(&self) -> Result<(), ConfError> {
        self.limits.check()?;
        let sides = self.sides_per_data_centre;
        require_range(sides, 1, 4_096, "sides_per_data_centre")?;
        let apart = self.store != self.listen && self.platform != self.listen;
        let problem = "callers' address is also the address of a platform service";
        require(
            apart,
            "listen",
            problem,
            "give the entry an address of its own",
        )
    }
}
