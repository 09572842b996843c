//! Backend servers as registered with the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use units::{
    DataCentre,
    InstanceId,
    ServiceName,
    SoftwareVersion, //
};

/// Stage of inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineStage {
    /// Computes the KV cache of prompts and hands it over to decode engines.
    Prefill,
    /// Generates output tokens, and prefills short uncached remainders of prompts inline.
    Decode,
}

impl EngineStage {
    /// Returns the stage's name in logs.
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

/// A backend server's entry in the platform's registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendRecord {
    /// Instance, which usually changes with a restart.
    pub instance: InstanceId,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentre,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Whether the backend server is draining and accepts no new requests.
    pub draining: bool,
    /// Remaining time for which the backend server is cold, that is, slower than usual.
    pub cold_time: Duration,
    /// Stage of an engine; `None` for a plain service.
    pub stage: Option<EngineStage>,
    /// Start time of the current process in milliseconds since the Unix epoch (1970), if published.
    pub started_unix_ms: Option<u64>,
    /// Version of the software, if the entry states one.
    pub version: Option<SoftwareVersion>,
}
