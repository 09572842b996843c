//! Shares evidence on crash suspects with the other gateways.

use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    SuspectEvidence,
    member_turn,
    turn_delay, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    SuspectId, //
};

use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::suspects::suspect_news::PendingWrite;

/// Time after which evidence of a single crash is written to the store.
const SINGLE_CRASH_DELAY: Duration = Duration::from_millis(1_000);

/// Queues the evidence on a suspect for the peers and the store. That of a single crash waits, since
/// the request is mostly soon completed elsewhere.
pub(crate) fn queue_news(shared: &GatewayShared, state: &mut GatewayState, suspect: SuspectId) {
    let is_repeated = state.suspects.has_repeated_crashes(suspect);
    let delay = if is_repeated {
        Duration::ZERO
    } else {
        SINGLE_CRASH_DELAY
    };
    queue_news_after(shared, state, suspect, delay);
}

/// Queues the evidence that this gateway has observed.
pub(crate) fn queue_news_after(
    shared: &GatewayShared,
    state: &mut GatewayState,
    suspect: SuspectId,
    delay: Duration,
) {
    let is_repeated = delay.is_zero();
    state.suspect_news.report(suspect, is_repeated);
    shared.peer_news.notify_one();
    if suspect.is_shared_segment() {
        // Many gateways observe the same segments.
        return queue_write(shared, state, suspect, delay);
    }
    let write = PendingWrite::own(Instant::now() + delay);
    state.suspect_news.write(write, suspect);
    shared.suspect_writes.notify_one();
}

/// Queues evidence that other gateways have too for the peers, and for the store in this gateway's turn.
pub(crate) fn relay_news(shared: &GatewayShared, state: &mut GatewayState, suspect: SuspectId) {
    state.suspect_news.report(suspect, true);
    shared.peer_news.notify_one();
    queue_write(shared, state, suspect, Duration::ZERO);
}

/// Queues a suspect for the store in this gateway's turn. The first gateway in turn writes what all know,
/// and the others what its record lacks then.
pub(crate) fn queue_write(
    shared: &GatewayShared,
    state: &mut GatewayState,
    suspect: SuspectId,
    delay: Duration,
) {
    let own = &shared.settings.instance;
    let turn = member_turn(&suspect.to_string(), own, state.members.keys());
    let write = PendingWrite {
        due: Instant::now() + delay + turn_delay(turn),
        awaits_turn: turn > 0,
    };
    state.suspect_news.write(write, suspect);
    shared.suspect_writes.notify_one();
}

/// Merges evidence that a peer has reported. Evidence of several crashes, or that voids them, is
/// relayed, since a gateway reports to a few peers only. The gateways that have observed a crash find
/// out about the process, and this one only if it would refuse a request.
pub(crate) fn merge_peer_evidence(
    shared: &GatewayShared,
    peer: &InstanceId,
    evidence: &SuspectEvidence,
) {
    let now = Instant::now();
    let suspect = evidence.suspect;
    let mut guard = shared.lock();
    let state = &mut *guard;
    let is_new = state.suspects.merge(now, evidence);
    let count = state.suspects.crash_count(suspect);
    let is_relayed = is_new && evidence.crashes.len() > 1;
    if is_relayed || state.suspects.adds_to(evidence) {
        relay_news(shared, state, suspect);
    } else if is_new && evidence.completed_at.is_some() {
        // The gateway that saw the answer writes it to the store.
        state.suspect_news.report(suspect, true);
        shared.peer_news.notify_one();
    }
    if !is_new {
        return;
    }
    drop(guard);
    log_merged(shared, evidence, "peer", peer.as_str(), count);
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
    .input(
        suspect_field(evidence.suspect),
        evidence.suspect.to_string(),
    )
    .input("source", source)
    .input("origin", origin)
    .input("crashes", count)
    .input("completed", evidence.completed_at.is_some())
    .input("age_ms", latest.map(|at| at.elapsed().as_millis() as u64));
    shared.log.write(record);
}

/// Returns the field of log lines that names a suspect.
fn suspect_field(suspect: SuspectId) -> &'static str {
    match suspect {
        SuspectId::Segment(_) | SuspectId::Session(_) => "suspect",
        SuspectId::Request(_) => "fingerprint",
    }
}
