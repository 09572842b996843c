//! Metrics of a gateway.

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
    pub(crate) drain_decisions: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) retries: IntCounter,
    pub(crate) standbys: IntCounterVec,
    pub(crate) connections: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) crash_evidence: IntCounterVec,
    pub(crate) suspect_verdicts: IntCounterVec,
    pub(crate) orders: IntCounterVec,
    pub(crate) limited_servers: IntGauge,
    pub(crate) malformed_limits: IntCounter,
    pub(crate) tokens: IntCounterVec,
    pub(crate) leaving_notices: IntCounter,
    pub(crate) malformed_notices: IntCounter,
    pub(crate) rests: IntCounter,
    pub(crate) cache_lists: IntCounterVec,
    pub(crate) resumes: IntCounterVec,
    pub(crate) origins: IntGauge,
    pub(crate) dropped_origins: IntCounter,
    pub(crate) body_bytes: IntGauge,
    pub(crate) unreadable_entries: IntCounterVec,
    pub(crate) config_version: IntGauge,
    pub(crate) usage_windows: IntCounterVec,
    pub(crate) usage_calls: IntCounterVec,
    pub(crate) uncounted_requests: IntCounter,
    pub(crate) config_pulls: IntCounterVec,
    pub(crate) config_copies: IntCounter,
    pub(crate) config_strangers: IntCounter,
    pub(crate) accounts: IntGauge,
    pub(crate) unreadable_accounts: IntGauge,
    pub(crate) account_requests: IntCounterVec,
    pub(crate) account_refusals: IntCounterVec,
    pub(crate) unframed_ends: IntCounterVec,
    pub(crate) latencies: LatencyMetrics,
}

impl GatewayMetrics {
    /// Creates metrics without any samples.
    pub(crate) fn new() -> Self {
        let set = MetricSet::new("gateway");
        let outcomes_help = "Requests by how they ended";
        let evidence_help = "Evidence that requests crash backend servers, by source";
        let standbys_help = "Attempts beside streams whose engines were silent";
        let malformed_help = "Backend servers that named a malformed limit";
        let leaving_help = "Processes of backend servers that said that they leave";
        let notices_help = "Answers whose word that their server leaves is malformed";
        let rests_help = "Rests that backend servers asked this gateway for";
        let lists_help = "Lists of cached segments that engines were asked for";
        let resumes_help = "Streams that callers take up, by where their version was learned";
        let dropped_help = "Streams whose version was dropped since the table was full";
        let unreadable_help = "Values read from the store that could not be parsed";
        let pulls_help = "Configurations asked of peers by what came of it";
        let copies_help = "Copies of the configuration handed to peers";
        let strangers_help = "Messages about configurations from processes that are no gateways";
        let odd_accounts_help = "Accounts of the configuration that are left out";
        let account_requests_help = "Requests of the largest accounts";
        let account_refusals_help = "Requests of the largest accounts refused or failed";
        let tokens_help = "Tokens for requests to limited backend servers";
        let verdicts_help = "Verdicts on requests suspected of crashing backend servers";
        let windows_help =
            "Windows of usage that this gateway fixed, reported or gave up, by reason";
        let usage_calls_help = "Reports of usage sent, by answer";
        let unframed_help = "Answers without a length or chunks, by whether they count as whole";
        let uncounted_help =
            "Requests that are missing in the usage, since there are too many counts";
        Self {
            requests: set.counter_vec("requests_total", "Requests by kind", "kind"),
            outcomes: set.counter_vec("outcomes_total", outcomes_help, "outcome"),
            refusals: set.counter_vec("refusals_total", "Requests refused by reason", "reason"),
            drain_decisions: set.counter_vec_by(
                "drain_decisions_total",
                "Requests that arrived while the gateway stopped, by connection",
                &["decision", "connection"],
            ),
            attempts: set.counter_vec("sends_total", "Sends by how they ended", "outcome"),
            retries: set.counter("repeats_total", "Sends beyond a request's first"),
            standbys: set.counter_vec("standbys_total", standbys_help, "outcome"),
            connections: set.counter("channels_total", "Connections opened to backend servers"),
            store_calls: set.counter_vec_by(
                "store_calls_total",
                "Calls of the store by purpose",
                &["purpose", "outcome"],
            ),
            crash_evidence: set.counter_vec("crash_evidence_total", evidence_help, "source"),
            suspect_verdicts: set.counter_vec("suspect_verdicts_total", verdicts_help, "verdict"),
            orders: set.counter_vec("orders_total", "Orders to engines by answer", "answer"),
            limited_servers: set.gauge("limited_servers", "Backend servers with a limit"),
            malformed_limits: set.counter("malformed_limits_total", malformed_help),
            tokens: set.counter_vec("tokens_total", tokens_help, "outcome"),
            leaving_notices: set.counter("leaving_servers_total", leaving_help),
            malformed_notices: set.counter("malformed_notices_total", notices_help),
            rests: set.counter("rests_total", rests_help),
            cache_lists: set.counter_vec("cache_lists_total", lists_help, "outcome"),
            resumes: set.counter_vec("resumes_total", resumes_help, "source"),
            origins: set.gauge("known_streams", "Streams whose version is known"),
            dropped_origins: set.counter("dropped_streams_total", dropped_help),
            body_bytes: set.gauge("body_bytes", "Bytes of the bodies in memory"),
            unreadable_entries: set.counter_vec(
                "unreadable_entries_total",
                unreadable_help,
                "kind",
            ),
            config_version: set.gauge("config_version", "Version of the configuration in force"),
            usage_windows: set.counter_vec("usage_windows_total", windows_help, "outcome"),
            usage_calls: set.counter_vec("usage_calls_total", usage_calls_help, "answer"),
            uncounted_requests: set.counter("uncounted_requests_total", uncounted_help),
            config_pulls: set.counter_vec("config_pulls_total", pulls_help, "outcome"),
            config_copies: set.counter("config_copies_total", copies_help),
            config_strangers: set.counter("config_strangers_total", strangers_help),
            accounts: set.gauge("accounts", "Accounts of the configuration in force"),
            unreadable_accounts: set.gauge("unreadable_accounts", odd_accounts_help),
            account_requests: set.counter_vec(
                "account_requests_total",
                account_requests_help,
                "account",
            ),
            account_refusals: set.counter_vec(
                "account_refusals_total",
                account_refusals_help,
                "account",
            ),
            unframed_ends: set.counter_vec("unframed_ends_total", unframed_help, "verdict"),
            latencies: LatencyMetrics::new(&set),
            set,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        self.set.to_text()
    }
}
