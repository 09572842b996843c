//! Counters and latencies of a gateway.

use host::MetricSet;
use prometheus::{
    IntCounter,
    IntCounterVec,
    IntGauge, //
};

use crate::latency::LatencyMetrics;

/// Metrics of a gateway.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    set: MetricSet,
    pub(crate) requests: IntCounterVec,
    pub(crate) outcomes: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) sends: IntCounterVec,
    pub(crate) repeats: IntCounter,
    pub(crate) channels: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) orders: IntCounterVec,
    pub(crate) config_version: IntGauge,
    pub(crate) latencies: LatencyMetrics,
}

impl GatewayMetrics {
    /// Metrics that have counted nothing.
    pub(crate) fn new() -> Self {
        let set = MetricSet::new("gateway");
        let outcome = "Requests by how they ended";
        Self {
            requests: set.counter_vec("requests_total", "Requests by kind", "kind"),
            outcomes: set.counter_vec("outcomes_total", outcome, "outcome"),
            refusals: set.counter_vec("refusals_total", "Requests refused by reason", "reason"),
            sends: set.counter_vec("sends_total", "Sends by how they ended", "outcome"),
            repeats: set.counter("repeats_total", "Sends beyond a request's first"),
            channels: set.counter("channels_total", "Connections opened to backend servers"),
            store_calls: set.counter_vec("store_calls_total", "Calls of the store", "outcome"),
            orders: set.counter_vec("orders_total", "Orders to engines by answer", "answer"),
            config_version: set.gauge("config_version", "Version of the configuration in force"),
            latencies: LatencyMetrics::new(&set),
            set,
        }
    }

    /// All values as text.
    pub(crate) fn to_text(&self) -> String {
        self.set.to_text()
    }
}
