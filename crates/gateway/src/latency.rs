//! Latencies of answers and of the stages that they pass.

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

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5, 5.0, 8.0, 12.0,
];
/// Upper bounds of the coarser buckets for each backend server.
const SERVER_BOUNDS: [f64; 5] = [0.05, 0.2, 0.8, 2.5, 8.0];
/// Backend servers with a series of their own; a scrape stays below 100 KB.
const SERVER_LIMIT: usize = 64;
/// Name of all other backend servers together.
const OTHER_SERVERS: &str = "other";

/// A step of a request at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerStage {
    /// A prompt read apart.
    Prefill,
    /// From the send to a decode engine to the head of its answer.
    Decode,
    /// A whole answer of a plain service.
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

/// Histograms of latencies.
#[derive(Debug)]
pub(crate) struct LatencyMetrics {
    answers: HistogramVec,
    stages: HistogramVec,
    servers: HistogramVec,
    named: Mutex<BTreeSet<InstanceId>>,
}

impl LatencyMetrics {
    pub(crate) fn new(set: &MetricSet) -> Self {
        let answers = "Time to a stream's first event or a plain answer, by kind and rank";
        let stages = "Time of each stage at a backend server";
        let servers = "Time of a stage at each backend server; the first 64 have their own series";
        Self {
            answers: set.histogram_vec(
                "answer_seconds",
                answers,
                &["kind", "rank"],
                &LATENCY_BOUNDS,
            ),
            stages: set.histogram_vec("stage_seconds", stages, &["stage"], &LATENCY_BOUNDS),
            servers: set.histogram_vec("server_seconds", servers, &["server"], &SERVER_BOUNDS),
            named: Mutex::default(),
        }
    }

    fn named(&self) -> MutexGuard<'_, BTreeSet<InstanceId>> {
        self.named.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Notes how long a caller waited for its answer.
    pub(crate) fn note_answer(&self, rule: &RouteRule, taken: Duration) {
        let rank = rule.rank.to_string();
        self.answers
            .with_label_values(&[rule.kind.as_str(), &rank])
            .observe(taken.as_secs_f64());
    }

    /// Notes how long a backend server took for a stage.
    pub(crate) fn note_stage(&self, stage: ServerStage, instance: &InstanceId, taken: Duration) {
        let seconds = taken.as_secs_f64();
        self.stages
            .with_label_values(&[stage.as_str()])
            .observe(seconds);
        let mut named = self.named();
        let has_series = named.contains(instance)
            || (named.len() < SERVER_LIMIT && named.insert(instance.clone()));
        let name = if has_series {
            instance.as_str()
        } else {
            OTHER_SERVERS
        };
        self.servers.with_label_values(&[name]).observe(seconds);
    }

    /// Drops the series of a backend server that is gone, so that another one may have it.
    pub(crate) fn forget(&self, instance: &InstanceId) {
        if self.named().remove(instance) {
            // A series that was never made is none to drop.
            let _ = self.servers.remove_label_values(&[instance.as_str()]);
        }
    }
}
