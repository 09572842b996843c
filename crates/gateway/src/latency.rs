//! Latency metrics of answers to callers and of request stages on backend servers.

use std::collections::BTreeSet;
use std::sync::{
    Mutex,
    MutexGuard, //
};
use std::time::Duration;

use host::MetricSet;
use policy::RouteRule;
use prometheus::HistogramVec;
use units::InstanceId;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5, 5.0, 8.0, 12.0,
];
/// Upper bounds in seconds of the coarser buckets of each backend server.
const SERVER_LATENCY_BUCKETS: [f64; 5] = [0.05, 0.2, 0.8, 2.5, 8.0];
/// Maximum number of backend servers with their own series, which keeps a scrape below 100 KB.
const MAX_SERVER_SERIES: usize = 64;
/// Label of the series that all other backend servers share.
const OTHER_SERVERS_LABEL: &str = "other";

/// Stage of a request on one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerStage {
    /// Prefill of a prompt on a prefill engine.
    Prefill,
    /// Decode on a decode engine, measured from the attempt to the head of the response.
    Decode,
    /// Complete response of a plain service.
    Plain,
}

impl ServerStage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }
}

/// Latency histograms of a gateway.
#[derive(Debug)]
pub(crate) struct LatencyMetrics {
    answers: HistogramVec,
    stages: HistogramVec,
    servers: HistogramVec,
    servers_with_series: Mutex<BTreeSet<InstanceId>>,
}

impl LatencyMetrics {
    pub(crate) fn new(set: &MetricSet) -> Self {
        let answers_help = "Time to a stream's first event or a plain answer, by kind and rank";
        let stages_help = "Time of each stage at a backend server";
        let servers_help =
            "Time of a stage at each backend server; the first 64 have their own series";
        Self {
            answers: set.histogram_vec(
                "answer_seconds",
                answers_help,
                &["kind", "rank"],
                &LATENCY_BUCKETS,
            ),
            stages: set.histogram_vec("stage_seconds", stages_help, &["stage"], &LATENCY_BUCKETS),
            servers: set.histogram_vec(
                "server_seconds",
                servers_help,
                &["server"],
                &SERVER_LATENCY_BUCKETS,
            ),
            servers_with_series: Mutex::default(),
        }
    }

    /// Locks the set, even if a panic has poisoned the lock.
    fn servers_with_series(&self) -> MutexGuard<'_, BTreeSet<InstanceId>> {
        self.servers_with_series
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    /// Records how long a caller waited for its answer.
    pub(crate) fn observe_answer(&self, rule: &RouteRule, elapsed: Duration) {
        let rank = rule.rank.to_string();
        self.answers
            .with_label_values(&[rule.kind.as_str(), &rank])
            .observe(elapsed.as_secs_f64());
    }

    /// Records how long a stage took on a backend server.
    pub(crate) fn observe_stage(
        &self,
        stage: ServerStage,
        instance: &InstanceId,
        elapsed: Duration,
    ) {
        let seconds = elapsed.as_secs_f64();
        self.stages
            .with_label_values(&[stage.as_str()])
            .observe(seconds);
        let mut servers_with_series = self.servers_with_series();
        let has_series = servers_with_series.contains(instance)
            || (servers_with_series.len() < MAX_SERVER_SERIES
                && servers_with_series.insert(instance.clone()));
        let name = if has_series {
            instance.as_str()
        } else {
            OTHER_SERVERS_LABEL
        };
        self.servers.with_label_values(&[name]).observe(seconds);
    }

    /// Removes the series of a removed backend server, so that another one can have its own.
    pub(crate) fn remove_server(&self, instance: &InstanceId) {
        if self.servers_with_series().remove(instance) {
            // The removal fails if the series was not created yet.
            let _ = self.servers.remove_label_values(&[instance.as_str()]);
        }
    }
}
