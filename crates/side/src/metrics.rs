//! Metrics of a side process.

use host::MetricSet;
use prometheus::{
    IntCounter,
    IntGauge, //
};

pub(crate) struct SideMetrics {
    set: MetricSet,
    pub(crate) started: IntCounter,
    pub(crate) refused: IntCounter,
    pub(crate) paused: IntCounter,
    pub(crate) crashes: IntCounter,
    pub(crate) calls: IntCounter,
    pub(crate) orders: IntCounter,
    pub(crate) orders_refused: IntCounter,
    pub(crate) intruders: IntCounter,
    pub(crate) jobs: IntGauge,
    link_sent: IntGauge,
    link_received: IntGauge,
    pub(crate) links: IntGauge,
    pub(crate) config_version: IntGauge,
}

impl SideMetrics {
    pub(crate) fn new() -> Self {
        let set = MetricSet::new("galenarail_side");
        Self {
            started: set.counter("started_total", "Jobs started on the engine"),
            refused: set.counter("refused_total", "Jobs refused before they ran"),
            paused: set.counter("paused_total", "Streams paused for urgent work"),
            crashes: set.counter("crashes_total", "Streams broken by the engine"),
            calls: set.counter("calls_total", "Calls sent to the plain service"),
            orders: set.counter("orders_total", "Orders accepted"),
            orders_refused: set.counter("orders_refused_total", "Orders refused"),
            intruders: set.counter("intruders_total", "Peers without the secret"),
            jobs: set.gauge("jobs", "Jobs that run or wait"),
            link_sent: set.gauge("link_sent_bytes", "Bytes sent on links"),
            link_received: set.gauge("link_received_bytes", "Bytes received on links"),
            links: set.gauge("links", "Entries connected"),
            config_version: set.gauge("config_version", "Configuration in force"),
            set,
        }
    }

    /// Encodes all values in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let traffic = wire::link_traffic();
        self.link_sent.set(traffic.sent_bytes as i64);
        self.link_received.set(traffic.received_bytes as i64);
        self.set.to_text()
    }
}
