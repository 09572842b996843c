//! Settings of the gateway, a proxy that forwards callers' requests directly to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    DataCentre,
    InstanceId, //
};

use crate::ConfError;
use crate::DutySettings;
use crate::check::{
    require,
    require_range, //
};

/// Memory of the smallest instances, in MB.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Number of parts of the memory of which one is for the bodies of requests and answers. A body that is
/// read takes up to twice its size, and connections and tables take the rest.
const MEMORY_PARTS: usize = 3;

/// Settings of a gateway, read from a JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Instance that the gateway runs on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address on which the gateway serves callers.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint for the platform's load balancer.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Address on which the gateway receives datagrams from its peers.
    #[serde(rename = "exchange")]
    pub peer_address: SocketAddr,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Number of retries for each request, summed over all gateways.
    #[serde(rename = "repeat_ratio")]
    pub retry_ratio: f64,
    /// Length of the window in which requests and retries are counted, in seconds.
    #[serde(rename = "repeat_window_s")]
    pub retry_window_s: f64,
    /// Number of retries in a window in addition to the ratio, summed over all gateways.
    #[serde(rename = "repeat_allowance")]
    pub retry_allowance: f64,
    /// Time for which the previous planner may still hold an engine's orders, in milliseconds. A new
    /// planner sends no orders for this long after it acquires the lease.
    #[serde(rename = "order_turn_ms")]
    pub order_settle_ms: f64,
    /// Maximum number of file descriptors that the process may open.
    pub descriptors: u32,
    /// Memory that the process may use, in MB of 1,048,576 bytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Duties that one gateway carries out for all; absent where the platform asks for none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutySettings>,
}

fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

impl GatewaySettings {
    /// Checks the ranges of the settings and that they do not contradict each other.
    pub fn check(&self) -> Result<(), ConfError> {
        require_range(self.grace_s, 0.5, 600.0, "grace_s")?;
        require_range(self.retry_ratio, 0.0, 10.0, "repeat_ratio")?;
        require_range(self.retry_window_s, 0.1, 3_600.0, "repeat_window_s")?;
        require_range(self.retry_allowance, 0.0, 1e6, "repeat_allowance")?;
        require_range(self.order_settle_ms, 0.0, 600_000.0, "order_turn_ms")?;
        require_range(self.descriptors, 300, 10_000_000, "descriptors")?;
        require_range(self.memory_mb, 32, 1 << 20, "memory_mb")?;
        if let Some(duties) = &self.duties {
            duties.check()?;
        }
        let is_distinct = self.listen != self.readiness && self.store != self.listen;
        let problem = "the address for callers is also the readiness or store address";
        let remedy = "give the gateway an address of its own for callers";
        require(is_distinct, "listen", problem, remedy)
    }

    /// Returns the number of bytes that the bodies of requests and answers may have together.
    pub fn body_bytes(&self) -> usize {
        self.memory_mb as usize * (1 << 20) / MEMORY_PARTS
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns the length of the window in which requests and retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// Returns the time between acquiring the lease and the first order to an engine.
    pub fn order_settle_time(&self) -> Duration {
        Duration::from_secs_f64(self.order_settle_ms / 1_000.0)
    }
}
