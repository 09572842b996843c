//! Settings of the side process, which runs on the instance of each backend server.

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

/// Kind of the backend server that a side process serves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum BackendKind {
    /// Engine that runs models.
    Engine {
        /// Whether the engine rejects orders with a stale fencing token.
        checks_fencing: bool,
    },
    /// Plain service.
    Service {
        /// Name of the service.
        name: ServiceName,
    },
}

/// Settings of a side process, read from a JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideSettings {
    /// Instance that the side process and its backend server run on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Address of the health and metrics endpoints. Its port is bound exclusively, so that no second
    /// side process can run beside the same backend server.
    pub operations: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Kind of the backend server.
    pub kind: BackendKind,
    /// Secret shared by all processes of the system, in hexadecimal.
    pub secret: HexSecret,
    /// Log file. If absent, the side process logs to standard error.
    #[serde(default)]
    pub log_file: Option<PathBuf>,
    /// Timeout of a graceful shutdown, in milliseconds.
    #[serde(default = "default_grace")]
    pub grace_ms: u32,
    /// Lifetime of a planner's lease, in milliseconds. Orders older than this are rejected.
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
    /// Checks the ranges of the settings and that they do not contradict each other.
    pub fn check(&self) -> Result<(), ConfError> {
        require_range(self.grace_ms, 100, 3_600_000, "grace_ms")?;
        require_range(self.lease_ms, 500, 60_000, "lease_ms")?;
        let is_distinct = self.listen != self.operations;
        let problem = "the address is the same as listen";
        require(
            is_distinct,
            "operations",
            problem,
            "give operations a port of its own",
        )?;
        let is_same_instance =
            self.backend.ip() == self.listen.ip() || self.listen.ip().is_unspecified();
        let problem = "the backend server is on another instance";
        require(
            is_same_instance,
            "backend",
            problem,
            "run the side process on the instance of its backend server",
        )
    }
}
