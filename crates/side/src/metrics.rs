//! Counters and gauges of a side process.

use prometheus::{
    IntCounter,
    IntGauge,
    Registry,
    TextEncoder, //
};

pub(crate) struct SideMetrics {
    registry: Registry,
    pub(crate) started: IntCounter,
    pub(crate) refused: IntCounter,
    pub(crate) paused: IntCounter,
    pub(crate) crashes: IntCounter,
    pub(crate) calls: IntCounter,
    pub(crate) orders: IntCounter,
    pub(crate) orders_refused: IntCounter,
    pub(crate) intruders: IntCounter,
    pub(crate) jobs: IntGauge,
    pub(crate) links: IntGauge,
    pub(crate) config_version: IntGauge,
}

impl SideMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let made = IntCounter::new(name, help).expect("metric names are valid");
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
        Self {
            started: counter(
                "galenarail_side_started_total",
                "Jobs started on the engine",
            ),
            refused: counter(
                "galenarail_side_refused_total",
                "Jobs refused before they ran",
            ),
            paused: counter(
                "galenarail_side_paused_total",
                "Streams paused for urgent work",
            ),
            crashes: counter(
                "galenarail_side_crashes_total",
                "Streams broken by the engine",
            ),
            calls: counter(
                "galenarail_side_calls_total",
                "Calls sent to the plain service",
            ),
            orders: counter("galenarail_side_orders_total", "Orders accepted"),
            orders_refused: counter("galenarail_side_orders_refused_total", "Orders refused"),
            intruders: counter(
                "galenarail_side_intruders_total",
                "Peers without the secret",
            ),
            jobs: gauge("galenarail_side_jobs", "Jobs that run or wait"),
            links: gauge("galenarail_side_links", "Entries connected"),
            config_version: gauge("galenarail_side_config_version", "Configuration in force"),
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
