//! Records which requests were in flight when backend servers crashed, and quarantines those that
//! cause crashes.

use hyper::Method;
use logs::DecisionKind;
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
    drop(state);
    let record = context.record(
        DecisionKind::Suspect,
        "connection broke before a response; request recorded as a crash suspect",
    );
    let record = record.input("fingerprint", fingerprint.to_string());
    context.shared.log.write(record.chosen(instance));
}

/// Clears a request of suspicion after a successful response.
pub(crate) fn clear_suspect(context: &RequestContext) {
    context.shared.lock().suspects.clear(context.fingerprint);
}

/// Returns whether a request is quarantined.
pub(crate) fn is_quarantined(context: &RequestContext) -> bool {
    let verdict = context
        .shared
        .lock()
        .suspects
        .verdict(Instant::now(), context.fingerprint);
    matches!(verdict, SuspectVerdict::Quarantined(_))
}
