//! Observes which requests were in flight when backend servers crashed, and refuses those that cause
//! crashes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    CrashId,
    CrashState,
    ServerCrash,
    SuspectEvidence,
    SuspectVerdict,
    member_turn, //
};
use tokio::time::Instant;
use twox_hash::XxHash3_64;
use units::{
    FingerprintId,
    IncarnationId,
    InstanceId, //
};

use crate::attempt::AttemptError;
use crate::crash_probe::{
    answers_probe,
    probe_crashes, //
};
use crate::request::RequestContext;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Time after which evidence of a single crash is written to the store.
const SINGLE_CRASH_DELAY: Duration = Duration::from_millis(1_000);

/// Cause of evidence against requests on a backend server that has fallen silent.
pub(crate) const SILENT_CAUSE: &str =
    "backend server does not respond on any connection, nor to a probe";

/// Returns the fingerprint of a request, which is identical when a caller sends it again.
pub(crate) fn request_fingerprint(method: &Method, path: &str, body: &[u8]) -> FingerprintId {
    let path = XxHash3_64::oneshot(path.as_bytes());
    let seed = path ^ XxHash3_64::oneshot(method.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, body))
}

/// Request under which a backend server may have crashed.
#[derive(Debug, Clone)]
pub(crate) struct CrashWitness {
    pub(crate) fingerprint: FingerprintId,
    pub(crate) request_id: Bytes,
}

/// Records in the background that a backend server has fallen silent, if a probe confirms it.
pub(crate) fn record_silence_later(
    shared: &Arc<GatewayShared>,
    witness: CrashWitness,
    instance: InstanceId,
) {
    let shared = shared.clone();
    tokio::spawn(async move {
        if !answers_probe(&shared, &instance).await {
            record_crash(&shared, &witness, &instance, SILENT_CAUSE);
        }
    });
}

/// Records that the response of a backend server broke off or that the server fell silent.
pub(crate) fn record_crash(
    shared: &Arc<GatewayShared>,
    witness: &CrashWitness,
    instance: &InstanceId,
    cause: &'static str,
) {
    let now = Instant::now();
    let fingerprint = witness.fingerprint;
    let mut guard = shared.lock();
    let state = &mut *guard;
    let view = state.fleet.get(instance);
    let started_unix_ms = view.and_then(|view| view.record.started_unix_ms);
    let mut crash = ServerCrash {
        id: CrashId(rand::random()),
        server: instance.clone(),
        incarnation: started_unix_ms.map(IncarnationId),
        at: now,
        state: CrashState::Presumed,
    };
    crash.id = state.suspects.known_crash(&crash).unwrap_or(crash.id);
    let is_new = state
        .suspects
        .record_crash(now, crash.clone(), &[fingerprint]);
    let count = state.suspects.crash_count(fingerprint);
    if is_new {
        queue_news(shared, state, fingerprint);
    }
    let unconfirmed = state.suspects.unconfirmed_crashes(fingerprint);
    drop(guard);
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["own"]).inc();
    let record = DecisionRecord::new(DecisionKind::Suspect, cause)
        .request(String::from_utf8_lossy(&witness.request_id))
        .chosen(instance)
        .input("fingerprint", fingerprint.to_string())
        .input("source", "own")
        .input("incarnation", started_unix_ms)
        .input("crashes", count)
        .input("age_ms", 0);
    shared.log.write(record);
    probe_crashes(shared, unconfirmed);
}

/// Queues the evidence on a suspect for the peers and the store. That of a single crash waits, since
/// the request is mostly soon completed elsewhere.
pub(crate) fn queue_news(
    shared: &GatewayShared,
    state: &mut GatewayState,
    fingerprint: FingerprintId,
) {
    let is_repeated = state.suspects.has_repeated_crashes(fingerprint);
    let delay = if is_repeated {
        Duration::ZERO
    } else {
        SINGLE_CRASH_DELAY
    };
    queue_news_after(shared, state, fingerprint, delay);
}

fn queue_news_after(
    shared: &GatewayShared,
    state: &mut GatewayState,
    fingerprint: FingerprintId,
    delay: Duration,
) {
    let is_repeated = delay.is_zero();
    state.suspect_news.report(fingerprint, is_repeated);
    let due = Instant::now() + delay;
    state.suspect_news.write(due, fingerprint);
    shared.suspect_reports.notify_one();
    shared.suspect_writes.notify_one();
}

/// Merges evidence that a peer has reported. Evidence of several crashes is relayed, since a gateway
/// reports to a few peers only.
pub(crate) fn merge_peer_evidence(
    shared: &Arc<GatewayShared>,
    peer: &InstanceId,
    evidence: &SuspectEvidence,
) {
    let now = Instant::now();
    let fingerprint = evidence.fingerprint;
    let mut guard = shared.lock();
    let state = &mut *guard;
    let is_new = state.suspects.merge(now, evidence);
    let count = state.suspects.crash_count(fingerprint);
    let is_relayed = is_new && evidence.crashes.len() > 1;
    if is_relayed || state.suspects.adds_to(evidence) {
        queue_news_after(shared, state, fingerprint, Duration::ZERO);
    }
    if !is_new {
        return;
    }
    let unconfirmed = state.suspects.unconfirmed_crashes(fingerprint);
    drop(guard);
    log_merged(shared, evidence, "peer", peer.as_str(), count);
    probe_crashes(shared, unconfirmed);
}

/// Logs evidence that came from a peer or from the store.
pub(crate) fn log_merged(
    shared: &GatewayShared,
    evidence: &SuspectEvidence,
    source: &'static str,
    origin: &str,
    count: usize,
) {
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&[source]).inc();
    let crashes = evidence.crashes.iter();
    let servers = crashes.clone().map(|crash| {
        let incarnation = crash.incarnation.map_or(0, |incarnation| incarnation.0);
        format!("{}/{incarnation}", crash.server)
    });
    let latest = crashes.map(|crash| crash.at).max();
    let latest = latest.max(evidence.completed_at);
    let record = DecisionRecord::new(
        DecisionKind::Suspect,
        "evidence on a crash suspect received",
    )
    .considered(servers.collect())
    .input("fingerprint", evidence.fingerprint.to_string())
    .input("source", source)
    .input("origin", origin)
    .input("crashes", count)
    .input("completed", evidence.completed_at.is_some())
    .input("age_ms", latest.map(|at| at.elapsed().as_millis() as u64));
    shared.log.write(record);
}

/// Clears a request of suspicion after a complete run.
pub(crate) fn record_completed(context: &RequestContext) {
    let fingerprint = context.fingerprint;
    let mut guard = context.shared.lock();
    let state = &mut *guard;
    let crash_count = state.suspects.record_completed(Instant::now(), fingerprint);
    // A single crash has no effect, so that nobody else needs to know that it is void.
    match crash_count {
        0 | 1 => state.suspect_news.cancel_write(fingerprint),
        _ => queue_news_after(&context.shared, state, fingerprint, Duration::ZERO),
    }
    drop(guard);
    if crash_count > 0 {
        let record = verdict_record(context, "cleared", "complete run; request cleared", 0);
        context.shared.log.write(record);
    }
}

/// Counts a verdict on a suspect and returns its log record.
fn verdict_record(
    context: &RequestContext,
    verdict: &'static str,
    reason: &str,
    crashes: usize,
) -> DecisionRecord {
    let metrics = &context.shared.metrics;
    metrics.suspect_verdicts.with_label_values(&[verdict]).inc();
    context
        .record(DecisionKind::Suspect, reason)
        .input("fingerprint", context.fingerprint.to_string())
        .input("verdict", verdict)
        .input("crashes", crashes)
}

/// Checks whether a request may be sent to a backend server, and starts the trial if it is one.
///
/// Applies to each attempt, since the request may have caused a crash since the last one.
pub(crate) fn check_suspect(context: &RequestContext) -> Result<(), AttemptError> {
    let fingerprint = context.fingerprint;
    let now = Instant::now();
    let mut state = context.shared.lock();
    let count = state.suspects.crash_count(fingerprint);
    if count == 0 || context.trial_crashes.get() == Some(&count) {
        return Ok(());
    }
    let own_instance = &context.shared.settings.instance;
    let turn = member_turn(&fingerprint.to_string(), own_instance, state.members.keys());
    let verdict = state.suspects.verdict(now, fingerprint, turn);
    let evidence = state.suspects.evidence(fingerprint);
    match verdict {
        SuspectVerdict::Unrestricted | SuspectVerdict::Isolated => return Ok(()),
        SuspectVerdict::Trial => {
            state.suspects.record_trial(now, fingerprint);
            queue_news(&context.shared, &mut state, fingerprint);
            // A request is tried once; a later attempt finds the trial already set.
            let _ = context.trial_crashes.set(count);
        }
        SuspectVerdict::Quarantined(_) => {}
    }
    drop(state);
    let reason = match verdict {
        SuspectVerdict::Trial => "quarantine has ended; request runs once more",
        _ => "request refused; it may have crashed these backend servers",
    };
    let record = verdict_record(context, verdict.as_str(), reason, count);
    let crashes = evidence.into_iter().flat_map(|evidence| evidence.crashes);
    let crashes = crashes.map(|crash| describe_crash(&crash)).collect();
    let record = record.considered(crashes);
    let SuspectVerdict::Quarantined(remaining) = verdict else {
        context.shared.log.write(record);
        return Ok(());
    };
    let remaining_ms = remaining.as_millis() as u64;
    context
        .shared
        .log
        .write(record.input("remaining_ms", remaining_ms));
    Err(AttemptError::Quarantined(remaining))
}

/// Returns the server, incarnation, age and state of a crash for the log.
fn describe_crash(crash: &ServerCrash) -> String {
    let incarnation = crash.incarnation.map_or(0, |incarnation| incarnation.0);
    let age: Duration = crash.at.elapsed();
    let state = match crash.state {
        CrashState::Presumed => "presumed",
        CrashState::Confirmed => "confirmed",
        CrashState::Outlived => "outlived",
    };
    format!(
        "{}/{incarnation}: {state}, {} ms ago",
        crash.server,
        age.as_millis()
    )
}
