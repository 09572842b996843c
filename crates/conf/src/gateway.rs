//! Settings of a gateway, the entry that forwards requests straight to backend servers.

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
use crate::check::{
    require,
    require_range, //
};

/// Settings of a gateway, from its JSON file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Instance that the gateway runs on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address on which the platform's balancer asks whether the gateway is ready.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Address for messages of other gateways.
    #[serde(rename = "exchange")]
    pub peer_address: SocketAddr,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Further sends for each request, of all gateways together.
    #[serde(rename = "repeat_ratio")]
    pub retry_ratio: f64,
    /// Seconds over which further sends are counted.
    #[serde(rename = "repeat_window_s")]
    pub retry_window_s: f64,
    /// Further sends beyond the ratio, of all gateways together.
    #[serde(rename = "repeat_allowance")]
    pub retry_allowance: f64,
    /// Milliseconds for which a holder of an engine's orders keeps its turn.
    #[serde(rename = "order_turn_ms")]
    pub order_settle_ms: f64,
    /// Descriptors that the process may open.
    pub descriptors: u32,
}

impl GatewaySettings {
    /// Checks ranges and contradictions.
    pub fn check(&self) -> Result<(), ConfError> {
        require_range(self.grace_s, 0.5, 600.0, "grace_s")?;
        require_range(self.retry_ratio, 0.0, 10.0, "repeat_ratio")?;
        require_range(self.retry_window_s, 0.1, 3_600.0, "repeat_window_s")?;
        require_range(self.retry_allowance, 0.0, 1e6, "repeat_allowance")?;
        require_range(self.order_settle_ms, 0.0, 600_000.0, "order_turn_ms")?;
        require_range(self.descriptors, 300, 10_000_000, "descriptors")?;
        let apart = self.listen != self.readiness && self.store != self.listen;
        let problem = "callers' address is also used for something else";
        let remedy = "give the gateway an address of its own for callers";
        require(apart, "listen", problem, remedy)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Time over which further sends are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// Time for which a holder of an engine's orders keeps its turn.
    pub fn order_settle_time(&self) -> Duration {
        Duration::from_secs_f64(self.order_settle_ms / 1_000.0)
    }
}
