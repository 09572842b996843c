//! Metrics of the entry daemon.

use host::MetricSet;
use prometheus::{
    Histogram,
    IntCounter,
    IntCounterVec,
    IntGauge, //
};

pub(crate) struct EntryMetrics {
    set: MetricSet,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) resumes: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) claims: IntCounter,
    pub(crate) store_errors: IntCounter,
    pub(crate) first_token_seconds: Histogram,
    link_sent_bytes: IntGauge,
    link_received_bytes: IntGauge,
    pub(crate) links: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) planner: IntGauge,
    pub(crate) role_orders: IntCounter,
}

/// Upper bounds of the histogram buckets, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0, 30.0];

impl EntryMetrics {
    pub(crate) fn new() -> Self {
        let set = MetricSet::new("galenarail_entry");
        let first_token_help = "Time from a request to the first token of its answer";
        Self {
            requests: set.counter_vec("requests_total", "Requests by class", "class"),
            refusals: set.counter_vec("refusals_total", "Refusals by reason", "reason"),
            resumes: set.counter("resumes_total", "Answers resumed elsewhere"),
            retries: set.counter("retries_total", "Attempts after a refusal"),
            claims: set.counter("claims_total", "Keys claimed or looked up"),
            store_errors: set.counter("store_errors_total", "Store calls failed"),
            first_token_seconds: set.histogram(
                "first_token_seconds",
                first_token_help,
                &FIRST_TOKEN_BUCKETS,
            ),
            link_sent_bytes: set.gauge("link_sent_bytes", "Bytes sent on links"),
            link_received_bytes: set.gauge("link_received_bytes", "Bytes received on links"),
            links: set.gauge("links", "Side processes connected"),
            config_version: set.gauge("config_version", "Configuration in force"),
            planner: set.gauge("planner", "1 while it holds the planner lease"),
            role_orders: set.counter("orders_total", "Role changes ordered"),
            set,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let traffic = wire::link_traffic();
        self.link_sent_bytes.set(traffic.sent_bytes as i64);
        self.link_received_bytes.set(traffic.received_bytes as i64);
        self.set.to_text()
    }
}
