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

use crate::call::CallContext;

/// Crashes of its own that a gateway tells the others.
const TOLD_LIMIT: usize = 32;

/// Fingerprint of a request, the same when a caller sends it again.
pub(crate) fn fingerprint(method: &Method, path: &str, body: &[u8]) -> FingerprintId {
    let path = XxHash3_64::oneshot(path.as_bytes());
    let seed = path ^ XxHash3_64::oneshot(method.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, body))
}

/// Notes that the connection broke while a request ran and before any part of its answer.
pub(crate) fn note_crash(call: &CallContext, instance: &InstanceId) {
    let fingerprint = call.fingerprint;
    let crash = CrashId(rand::random());
    let mut state = call.shared.lock();
    state
        .suspects
        .record_crash(Instant::now(), crash, &[fingerprint]);
    state.own_crashes.push_back((fingerprint, crash));
    if state.own_crashes.len() > TOLD_LIMIT {
        state.own_crashes.pop_front();
    }
    drop(state);
    let record = call.record(DecisionKind::Suspect, "connection broke before an answer");
    let record = record.input("fingerprint", fingerprint.to_string());
    call.shared.log.write(record.chosen(instance));
}

/// Notes that a request was answered, so that it does not cause crashes.
pub(crate) fn note_answer(call: &CallContext) {
    call.shared.lock().suspects.clear(call.fingerprint);
}

/// Whether a request is kept out.
pub(crate) fn is_kept_out(call: &CallContext) -> bool {
    let verdict = call
        .shared
        .lock()
        .suspects
        .verdict(Instant::now(), call.fingerprint);
    matches!(verdict, SuspectVerdict::Quarantined(_))
}
