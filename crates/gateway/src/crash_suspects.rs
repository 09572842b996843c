//! Records which requests were in flight when backend servers crashed, and quarantines those that
//! cause crashes.

use hyper::Method;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CrashId,
    SuspectVerdict, //
};
use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    FingerprintId,
    InstanceId, //
};

use crate::request::RequestContext;
use crate::shared::GatewayShared;

/// Number of latest crashes observed by this gateway that it reports to its peers.
const MAX_SHARED_CRASHES: usize = 32;

/// Returns the fingerprint of a request, which is identical when a caller sends it again.
pub(crate) fn request_fingerprint(method: &Method, path: &str, body: &[u8]) -> FingerprintId {
    let path = XxHash3_64::oneshot(path.as_bytes());
    let seed = path ^ XxHash3_64::oneshot(method.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, body))
}

/// Records that the connection broke after a request was sent and before any part of the response
/// arrived.
pub(crate) fn record_crash(context: &RequestContext, instance: &InstanceId) {
    let fingerprint = context.fingerprint;
    let crash = CrashId(rand::random());
    let mut state = context.shared.lock();
    state
        .suspects
        .record_crash(Instant::now(), crash, &[fingerprint]);
    state.own_crashes.push_back((fingerprint, crash));
    if state.own_crashes.len() > MAX_SHARED_CRASHES {
        state.own_crashes.pop_front();
    }
    let count = state.suspects.crash_count(fingerprint);
    let view = state.fleet.get(instance);
    let started_unix_ms = view.and_then(|view| view.record.started_unix_ms);
    drop(state);
    let metrics = &context.shared.metrics;
    metrics.crash_evidence.with_label_values(&["own"]).inc();
    let record = context
        .record(
            DecisionKind::Suspect,
            "connection broke before a response; request recorded as a crash suspect",
        )
        .input("fingerprint", fingerprint.to_string())
        .input("source", "own")
        .input("incarnation", started_unix_ms)
        .input("crashes", count);
    context.shared.log.write(record.chosen(instance));
}

/// Records a crash that a peer has reported.
pub(crate) fn record_peer_crash(
    shared: &GatewayShared,
    peer: &InstanceId,
    fingerprint: FingerprintId,
    crash: CrashId,
) {
    let mut state = shared.lock();
    let suspects = &mut state.suspects;
    if !suspects.record_crash(Instant::now(), crash, &[fingerprint]) {
        return;
    }
    let count = suspects.crash_count(fingerprint);
    drop(state);
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["peer"]).inc();
    let record = DecisionRecord::new(
        DecisionKind::Suspect,
        "crash reported by a peer; request recorded as a crash suspect",
    );
    let record = record
        .input("fingerprint", fingerprint.to_string())
        .input("source", "peer")
        .input("peer", peer.to_string())
        .input("crashes", count);
    shared.log.write(record);
}

/// Clears a request of suspicion after a successful response.
pub(crate) fn clear_suspect(context: &RequestContext) {
    let had_crashes = context.shared.lock().suspects.clear(context.fingerprint);
    if had_crashes {
        log_verdict(context, "cleared", "success response; request cleared", 0);
    }
}

/// Logs and counts a verdict on a suspect.
fn log_verdict(context: &RequestContext, verdict: &'static str, reason: &str, crashes: usize) {
    let metrics = &context.shared.metrics;
    metrics.suspect_verdicts.with_label_values(&[verdict]).inc();
    let record = context
        .record(DecisionKind::Suspect, reason)
        .input("fingerprint", context.fingerprint.to_string())
        .input("verdict", verdict)
        .input("crashes", crashes);
    context.shared.log.write(record);
}

/// Returns whether a request is quarantined.
pub(crate) fn is_quarantined(context: &RequestContext) -> bool {
    let state = context.shared.lock();
    let suspects = &state.suspects;
    let verdict = suspects.verdict(Instant::now(), context.fingerprint);
    let crashes = suspects.crash_count(context.fingerprint);
    drop(state);
    let is_quarantined = matches!(verdict, SuspectVerdict::Quarantined(_));
    if is_quarantined {
        let reason = "request refused; it crashed too many backend servers";
        log_verdict(context, "quarantined", reason, crashes);
    }
    is_quarantined
}
