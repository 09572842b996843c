//! A backend server as the platform's list describes it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use units::{
    DataCentre,
    InstanceId,
    ServiceName, //
};

/// Which part of a generation an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineStage {
    /// Reads prompts and hands their KV cache over.
    Prefill,
    /// Generates tokens, and reads short prompts itself.
    Decode,
}

impl EngineStage {
    /// The stage's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl fmt::Display for EngineStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One entry of the list of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Instance, new at most starts.
    pub instance: InstanceId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// Time for which it stays slow after its start.
    pub cold_time: Duration,
    /// Stage, for engines.
    pub stage: Option<EngineStage>,
    /// Start of its present run, in milliseconds since 1970, where it says so.
    pub started_unix_ms: Option<u64>,
}
