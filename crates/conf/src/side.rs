//! Settings of a side process.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    DataCentre,
    InstanceId,
    ServiceName, //
};

use crate::check::{
    require,
    require_range, //
};
use crate::{
    ConfError,
    HexSecret, //
};

/// What the backend server beside the process is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BackendKind {
    /// A model engine.
    Engine {
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        name: ServiceName,
    },
}

/// Settings of a side process, from its JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideSettings {
    /// Instance that the process and its backend server run on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address for health checks and metrics; its port also keeps out a second side process.
    pub operations: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// What the backend server is.
    pub kind: BackendKind,
    /// Secret shared by the system's processes, in hexadecimal.
    pub secret: HexSecret,
    /// File for log lines; standard error when absent.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Time within which a stop must be over, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: u32,
    /// Lease duration that planners use, in milliseconds; orders older than this have no effect.
    #[serde(default = "default_lease")]
    pub lease_ms: u32,
}

fn default_grace() -> u32 {
    600_000
}

fn default_lease() -> u32 {
    6_000
}

impl SideSettings {
    /// Checks ranges and contradictions.
    pub fn check(&self) -> Result<(), ConfError> {
        require_range(self.grace_ms, 100, 3_600_000, "grace_ms")?;
        require_range(self.lease_ms, 500, 60_000, "lease_ms")?;
        let apart = self.listen != self.operations;
        let problem = "it is the same as listen";
        require(
            apart,
            "operations",
            problem,
            "give operations a port of its own",
        )?;
        let beside = self.backend.ip() == self.listen.ip() || self.listen.ip().is_unspecified();
        let problem = "the backend server is on another instance";
        require(
            beside,
            "backend",
            problem,
            "run the side beside its backend server",
        )
    }
}
