//! Counters and gauges of an entry.

use prometheus::{
    Histogram,
    HistogramOpts,
    IntCounter,
    IntCounterVec,
    IntGauge,
    Opts,
    Registry,
    TextEncoder, //
};

pub(crate) struct EntryMetrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) resumes: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) claims: IntCounter,
    pub(crate) store_errors: IntCounter,
    pub(crate) first_token: Histogram,
    pub(crate) links: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) planner: IntGauge,
    pub(crate) orders: IntCounter,
}

/// Bounds of the histogram's buckets, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.5, 5.0, 30.0];

impl EntryMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let made = IntCounter::new(name, help).expect("metric names are valid");
            registry
                .register(Box::new(made.clone()))
                .expect("metric names are unique");
            made
        };
        let by = |name: &str, help: &str, label: &str| {
            let made = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("metric names are valid");
            registry
                .register(Box::new(made.clone()))
                .expect("metric names are unique");
            made
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).expect("metric names are valid");
            registry
                .register(Box::new(made.clone()))
                .expect("metric names are unique");
            made
        };
        let options = HistogramOpts::new(
            "galenarail_entry_first_token_seconds",
            "Time from a request to the first token of its answer",
        );
        let buckets = options.buckets(FIRST_TOKEN_BUCKETS.to_vec());
        let first_token = Histogram::with_opts(buckets).expect("metric names are valid");
        registry
            .register(Box::new(first_token.clone()))
            .expect("metric names are unique");
        Self {
            requests: by(
                "galenarail_entry_requests_total",
                "Requests by class",
                "class",
            ),
            refusals: by(
                "galenarail_entry_refusals_total",
                "Refusals by reason",
                "reason",
            ),
            resumes: counter(
                "galenarail_entry_resumes_total",
                "Answers resumed elsewhere",
            ),
            retries: counter("galenarail_entry_retries_total", "Attempts after a refusal"),
            claims: counter("galenarail_entry_claims_total", "Keys claimed or looked up"),
            store_errors: counter("galenarail_entry_store_errors_total", "Store calls failed"),
            first_token,
            links: gauge("galenarail_entry_links", "Side processes connected"),
            config_version: gauge("galenarail_entry_config_version", "Configuration in force"),
            planner: gauge(
                "galenarail_entry_planner",
                "1 while it holds the planner lease",
            ),
            orders: counter("galenarail_entry_orders_total", "Role changes ordered"),
            registry,
        }
    }

    /// All values in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
