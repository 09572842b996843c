//! A registry that makes metrics under one prefix.

use prometheus::{
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    Opts,
    Registry,
    TextEncoder, //
};

/// Makes and shows the metrics of a process. Names are constants of the code, so that a wrong or
/// repeated one is found by the first test that starts the process.
#[derive(Debug)]
pub struct MetricSet {
    prefix: &'static str,
    registry: Registry,
}

impl MetricSet {
    /// An empty set whose names begin with a prefix.
    pub fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            registry: Registry::new(),
        }
    }

    fn prefixed_name(&self, name: &str) -> String {
        format!("{}_{name}", self.prefix)
    }

    fn register<M: prometheus::core::Collector + Clone + 'static>(&self, metric: M) -> M {
        let registered = self.registry.register(Box::new(metric.clone()));
        registered.expect("metric names are unique");
        metric
    }

    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::new(self.prefixed_name(name), help);
        self.register(metric.expect("metric names are valid"))
    }

    /// A counter for each value of a label.
    pub fn counter_vec(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(self.prefixed_name(name), help), &[label]);
        self.register(metric.expect("metric names are valid"))
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::new(self.prefixed_name(name), help);
        self.register(metric.expect("metric names are valid"))
    }

    /// A histogram with the upper bounds of its buckets.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let options = HistogramOpts::new(self.prefixed_name(name), help).buckets(buckets.to_vec());
        let metric = Histogram::with_opts(options);
        self.register(metric.expect("metric names are valid"))
    }

    /// A histogram for each combination of labels' values.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> HistogramVec {
        let options = HistogramOpts::new(self.prefixed_name(name), help).buckets(buckets.to_vec());
        let metric = HistogramVec::new(options, labels);
        self.register(metric.expect("metric names are valid"))
    }

    /// All values in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
