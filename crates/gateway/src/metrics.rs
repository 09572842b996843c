//! Counters and latencies of a gateway.

use std::time::Duration;

use host::MetricSet;
use prometheus::{
    Histogram,
    IntCounter,
    IntCounterVec,
    IntGauge, //
};

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5, 5.0, 8.0, 12.0,
];

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
    pub(crate) first_event: Histogram,
    pub(crate) prefill: Histogram,
    pub(crate) plain: Histogram,
}

impl GatewayMetrics {
    /// Metrics that have counted nothing.
    pub(crate) fn new() -> Self {
        let set = MetricSet::new("gateway");
        let outcome = "Requests by how they ended";
        let histogram = |name, help| set.histogram(name, help, &LATENCY_BOUNDS);
        Self {
            requests: set.counters("requests_total", "Requests by kind", "kind"),
            outcomes: set.counters("outcomes_total", outcome, "outcome"),
            refusals: set.counters("refusals_total", "Requests refused by reason", "reason"),
            sends: set.counters("sends_total", "Sends by how they ended", "outcome"),
            repeats: set.counter("repeats_total", "Sends beyond a request's first"),
            channels: set.counter("channels_total", "Connections opened to backend servers"),
            store_calls: set.counters("store_calls_total", "Calls of the store", "outcome"),
            orders: set.counters("orders_total", "Orders to engines by answer", "answer"),
            config_version: set.gauge("config_version", "Version of the configuration in force"),
            first_event: histogram("first_event_seconds", "Time to a stream's first event"),
            prefill: histogram("prefill_seconds", "Time of reading a prompt apart"),
            plain: histogram("plain_seconds", "Time of answers of plain services"),
            set,
        }
    }

    /// All values as text.
    pub(crate) fn to_text(&self) -> String {
        self.set.to_text()
    }

    /// Notes a latency.
    pub(crate) fn observe(histogram: &Histogram, taken: Duration) {
        histogram.observe(taken.as_secs_f64());
    }
}
