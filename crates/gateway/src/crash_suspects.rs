//! Notes which requests ran where backend servers crashed, and keeps out those that cause it.

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

/// Crashes of its own that a gateway tells the others.
const MAX_SHARED_CRASHES: usize = 32;

/// Fingerprint of a request, the same when a caller sends it again.
pub(crate) fn request_fingerprint(method: &Method, path: &str, body: &[u8]) -> FingerprintId {
    let path = XxHash3_64::oneshot(path.as_bytes());
    let seed = path ^ XxHash3_64::oneshot(method.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, body))
}

/// Notes that the connection broke while a request ran and before any part of its answer.
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
    let record = context.record(DecisionKind::Suspect, "connection broke before an answer");
    let record = record.input("fingerprint", fingerprint.to_string());
    context.shared.log.write(record.chosen(instance));
}

/// Notes that a request was answered, so that it does not cause crashes.
pub(crate) fn clear_suspect(context: &RequestContext) {
    context.shared.lock().suspects.clear(context.fingerprint);
}

/// Whether a request is kept out.
pub(crate) fn is_quarantined(context: &RequestContext) -> bool {
    let verdict = context
        .shared
        .lock()
        .suspects
        .verdict(Instant::now(), context.fingerprint);
    matches!(verdict, SuspectVerdict::Quarantined(_))
}
