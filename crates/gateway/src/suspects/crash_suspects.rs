//! Observes which requests and segments were in flight when backend servers crashed, and refuses those
//! that cause crashes.

use std::collections::BTreeSet;
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
    PromptLayout,
    ServerCrash,
    SuspectVerdict,
    member_turn, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use twox_hash::XxHash3_64;
use units::{
    FingerprintId,
    IncarnationId,
    InstanceId,
    SuspectId, //
};

use crate::attempt::AttemptError;
use crate::request::RequestContext;
use crate::shared::GatewayShared;
use crate::suspects::crash_probe::{
    answers_probe,
    probe_crashes, //
};
use crate::suspects::suspect_sharing::{
    queue_news,
    queue_news_after, //
};

/// Maximum number of shared segments of one prompt that may be suspects.
const MAX_SEGMENTS: usize = 32;

/// Longest wait of a request until it is known whether processes have outlived presumed crashes.
const MAX_OUTCOME_WAIT: Duration = Duration::from_millis(250);

/// Cause of evidence against requests on a backend server that has fallen silent.
pub(crate) const SILENT_CAUSE: &str =
    "backend server does not respond on any connection, nor to a probe";

/// Returns the fingerprint of a request, which is identical when a caller sends it again.
pub(crate) fn request_fingerprint(method: &Method, path: &str, body: &[u8]) -> FingerprintId {
    let path = XxHash3_64::oneshot(path.as_bytes());
    let seed = path ^ XxHash3_64::oneshot(method.as_str().as_bytes());
    FingerprintId(XxHash3_64::oneshot_with_seed(seed, body))
}

/// Returns what may crash a backend server that runs a request: segments that other requests share, the
/// session's own segment, and the request itself.
pub(crate) fn request_suspects(
    fingerprint: FingerprintId,
    layout: &PromptLayout,
) -> Arc<[SuspectId]> {
    let shared = layout.shared_segments().take(MAX_SEGMENTS);
    let shared = shared.map(SuspectId::Segment);
    let session = layout.own_segment().map(SuspectId::Session);
    let own = session.into_iter().chain([fingerprint.into()]);
    let suspects: BTreeSet<SuspectId> = shared.chain(own).collect();
    suspects.into_iter().collect()
}

/// Request under which a backend server may have crashed.
#[derive(Debug, Clone)]
pub(crate) struct CrashWitness {
    pub(crate) fingerprint: FingerprintId,
    pub(crate) suspects: Arc<[SuspectId]>,
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
    let suspects = witness.suspects.iter().copied();
    let concerned = state
        .suspects
        .record_observation(now, crash, suspects.clone());
    for suspect in concerned {
        queue_news(shared, state, suspect);
    }
    let registry = &state.suspects;
    let count = registry.crash_count(fingerprint);
    let segments = suspects
        .clone()
        .filter(|suspect| suspect.is_prompt_segment());
    let segments = segments.map(|segment| (segment, registry.crash_count(segment)));
    let segments = segments.filter(|(_, count)| *count > 0);
    let segments = segments
        .map(|(segment, count)| format!("{segment}: {count} crashes"))
        .collect();
    let unconfirmed = suspects.flat_map(|suspect| registry.unconfirmed_crashes(suspect));
    let unconfirmed = unconfirmed.collect();
    drop(guard);
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["own"]).inc();
    let record = DecisionRecord::new(DecisionKind::Suspect, cause)
        .request(String::from_utf8_lossy(&witness.request_id))
        .chosen(instance)
        .considered(segments)
        .input("fingerprint", fingerprint.to_string())
        .input("source", "own")
        .input("incarnation", started_unix_ms)
        .input("crashes", count)
        .input("age_ms", 0);
    shared.log.write(record);
    probe_crashes(shared, unconfirmed);
}

/// Clears a request and its segments of suspicion after a complete run.
pub(crate) fn record_completed(context: &RequestContext) {
    let suspects = context.suspects.iter().copied();
    clear_suspects(context, suspects, "complete run; suspect cleared");
}

/// Clears the segments of a request on which a backend server goes on writing an answer.
pub(crate) fn record_answering(context: &RequestContext) {
    let suspects = context.suspects.iter().copied();
    let segments = suspects.filter(|suspect| suspect.is_prompt_segment());
    clear_suspects(context, segments, "answer under way; segment cleared");
}

fn clear_suspects(
    context: &RequestContext,
    suspects: impl Iterator<Item = SuspectId>,
    reason: &str,
) {
    let now = Instant::now();
    let mut cleared = Vec::new();
    let mut guard = context.shared.lock();
    let state = &mut *guard;
    for suspect in suspects {
        let crash_count = state.suspects.record_completed(now, suspect);
        match crash_count {
            0 => continue,
            // A single crash has no effect, so that nobody else needs to know that it is void.
            1 => state.suspect_news.cancel_write(suspect),
            _ => queue_news_after(&context.shared, state, suspect, Duration::ZERO),
        }
        cleared.push(suspect);
    }
    drop(guard);
    for suspect in cleared {
        let record = verdict_record(context, suspect, "cleared", reason, 0);
        context.shared.log.write(record);
    }
}

/// Counts a verdict on a suspect and returns its log record.
fn verdict_record(
    context: &RequestContext,
    suspect: SuspectId,
    verdict: &'static str,
    reason: &str,
    crashes: usize,
) -> DecisionRecord {
    let metrics = &context.shared.metrics;
    metrics.suspect_verdicts.with_label_values(&[verdict]).inc();
    context
        .record(DecisionKind::Suspect, reason)
        .input("fingerprint", context.fingerprint.to_string())
        .input("suspect", suspect.to_string())
        .input("verdict", verdict)
        .input("crashes", crashes)
}

/// Returns whether a request or one of its segments was running when a backend server crashed.
pub(crate) fn has_crash_evidence(context: &RequestContext) -> bool {
    let state = context.shared.lock();
    let mut suspects = context.suspects.iter();
    suspects.any(|suspect| state.suspects.crash_count(*suspect) > 0)
}

/// Checks whether a request may be sent to a backend server, and starts the trial if it is one.
///
/// Applies to each attempt, since the request or its segments may have caused a crash since the last
/// one. Waits for the outcome of presumed crashes, of which it may soon turn out that the processes have
/// outlived them.
pub(crate) async fn check_suspect(context: &RequestContext) -> Result<(), AttemptError> {
    let give_up_at = context.deadline.min(Instant::now() + MAX_OUTCOME_WAIT);
    loop {
        let outcomes = context.shared.crash_outcomes.notified();
        let is_last = Instant::now() >= give_up_at;
        if let Some(checked) = check_suspect_now(context, is_last) {
            return checked;
        }
        tokio::select! {
            () = outcomes => {}
            () = sleep_until(give_up_at) => {}
        }
    }
}

/// Returns the result of the check, or `None` if it may soon change, unless `is_last`.
fn check_suspect_now(context: &RequestContext, is_last: bool) -> Option<Result<(), AttemptError>> {
    let now = Instant::now();
    let own_instance = &context.shared.settings.instance;
    let mut guard = context.shared.lock();
    let state = &mut *guard;
    let registry = &state.suspects;
    let mut trials = context
        .trial_crashes
        .lock()
        .unwrap_or_else(|e| e.into_inner());
    // A segment that is being answered is judged once the outcome is known.
    let is_exempt = |suspect: SuspectId| {
        trials.get(&suspect) == Some(&registry.crash_count(suspect))
            || state.answering_segments.contains(suspect)
    };
    let turn =
        |suspect: SuspectId| member_turn(&suspect.to_string(), own_instance, state.members.keys());
    let Some((suspect, verdict)) =
        registry.strictest_verdict(now, &context.suspects, is_exempt, turn)
    else {
        return Some(Ok(()));
    };
    let is_refused = matches!(verdict, SuspectVerdict::Quarantined(_));
    if is_refused && !is_last {
        let unconfirmed = registry.unconfirmed_crashes(suspect);
        let awaits_outcome = registry.awaits_outcome(now, suspect);
        drop(trials);
        drop(guard);
        probe_crashes(&context.shared, unconfirmed);
        return if awaits_outcome {
            None
        } else {
            check_suspect_now(context, true)
        };
    }
    let count = registry.crash_count(suspect);
    let evidence = registry.evidence(suspect);
    match verdict {
        SuspectVerdict::Unrestricted | SuspectVerdict::Isolated => return Some(Ok(())),
        SuspectVerdict::Trial => {
            for tried in state.suspects.record_trials(now, &context.suspects) {
                trials.insert(tried, state.suspects.crash_count(tried));
                queue_news(&context.shared, state, tried);
            }
        }
        SuspectVerdict::Quarantined(_) => {}
    }
    drop(trials);
    drop(guard);
    let reason = match verdict {
        SuspectVerdict::Trial => "quarantine has ended; request runs once more",
        _ => "request refused; it may have crashed these backend servers",
    };
    let record = verdict_record(context, suspect, verdict.as_str(), reason, count);
    let crashes = evidence.into_iter().flat_map(|evidence| evidence.crashes);
    let crashes = crashes.map(|crash| describe_crash(&crash)).collect();
    let record = record.considered(crashes);
    let SuspectVerdict::Quarantined(remaining) = verdict else {
        context.shared.log.write(record);
        return Some(Ok(()));
    };
    let remaining_ms = remaining.as_millis() as u64;
    context
        .shared
        .log
        .write(record.input("remaining_ms", remaining_ms));
    Some(Err(AttemptError::Quarantined(remaining)))
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
