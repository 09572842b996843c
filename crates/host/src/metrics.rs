//! Registry of the metrics of one process.

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

/// Creates the metrics of a process under one name prefix and encodes their values.
///
/// Metric names are constants in the code. An invalid or duplicate name panics when the process
/// starts, so any test that starts the process finds it.
#[derive(Debug)]
pub struct MetricSet {
    prefix: &'static str,
    registry: Registry,
}

impl MetricSet {
    /// Creates an empty set whose metric names start with `prefix` and an underscore.
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

    /// Creates and registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::new(self.prefixed_name(name), help);
        self.register(metric.expect("metric names are valid"))
    }

    /// Creates and registers a counter per value of a label.
    pub fn counter_vec(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        self.counter_vec_by(name, help, &[label])
    }

    /// Creates and registers a counter per combination of the values of some labels.
    pub fn counter_vec_by(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(self.prefixed_name(name), help), labels);
        self.register(metric.expect("metric names are valid"))
    }

    /// Creates and registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::new(self.prefixed_name(name), help);
        self.register(metric.expect("metric names are valid"))
    }

    /// Creates and registers a histogram with the given upper bounds of its buckets.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Histogram {
        let options = HistogramOpts::new(self.prefixed_name(name), help).buckets(buckets.to_vec());
        let metric = Histogram::with_opts(options);
        self.register(metric.expect("metric names are valid"))
    }

    /// Creates and registers a histogram per combination of label values.
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

    /// Encodes all values in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
