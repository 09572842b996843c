//! Finds out whether the process of a backend server has outlived a presumed crash.

use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::ProbeAnswer;
use policy::{
    BackendView,
    CrashState,
    ProcessState,
    ServerCrash, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::InstanceId;

use crate::shared::GatewayShared;
use crate::suspects::server_process::{
    ProbeTarget,
    find_process,
    process_state, //
};
use crate::suspects::suspect_news::SilenceProbe;
use crate::suspects::suspect_sharing::relay_news;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a probe of a server that has fallen silent.
const SILENCE_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a crash whose probe showed nothing may be probed again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay between the first two probes of a process that may have crashed. A process that is about to
/// end may still answer the first one.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Time before the last probe in which a busy server sends something, so that none is needed.
const LIVENESS_TIME: Duration = Duration::from_millis(100);
/// Factor by which the delay grows from one probe to the next.
const PROBE_DELAY_FACTOR: u32 = 2;
/// Maximum number of probes started at once.
const MAX_PROBES: usize = 16;
/// Time after a presumed crash in which an answer must come from the same process, if the process
/// does not state when it started. A restart takes longer.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Returns whether a server that has fallen silent on all connections answers on a new one, or refuses it
/// since it leaves.
///
/// A busy server also sends nothing for a while. One probe at a time asks each server, and its result
/// holds for all requests that wait for it.
pub(crate) async fn answers_probe(shared: &GatewayShared, instance: &InstanceId) -> bool {
    let lock = {
        let mut state = shared.lock();
        let locks = &mut state.suspect_news.silence_probes;
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
        locks.entry(instance.clone()).or_default().clone()
    };
    let mut last_result = lock.lock().await;
    if let Some(probe) = *last_result
        && probe.at.elapsed() < PROBE_INTERVAL
    {
        return probe.is_alive;
    }
    let target = {
        let state = shared.lock();
        let view = state.fleet.get(instance);
        view.map(|view| ProbeTarget::new(&state, view))
    };
    let Some(target) = target else {
        return false;
    };
    let answer = target.ask(shared, instance, SILENCE_PROBE_TIMEOUT).await;
    let is_alive = match answer {
        Ok(ProbeAnswer::Alive { .. }) => true,
        // It may have stopped listening and still complete its answers.
        Ok(ProbeAnswer::NotListening) => has_announced_end(shared, instance),
        Ok(ProbeAnswer::OtherInstance) | Err(_) => false,
    };
    *last_result = Some(SilenceProbe {
        at: Instant::now(),
        is_alive,
    });
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["probe"]).inc();
    is_alive
}

fn has_announced_end(shared: &GatewayShared, instance: &InstanceId) -> bool {
    let state = shared.lock();
    let view = state.fleet.get(instance);
    view.is_some_and(BackendView::has_announced_end)
}

/// Probes the servers of presumed crashes in the background.
pub(crate) fn probe_crashes(shared: &Arc<GatewayShared>, crashes: Vec<ServerCrash>) {
    let now = Instant::now();
    let mut state = shared.lock();
    let probes = &mut state.suspect_news.probes;
    probes.retain(|_, at| now < *at + PROBE_INTERVAL);
    let mut due = crashes;
    due.retain(|crash| !probes.contains_key(&crash.id));
    due.sort_unstable_by_key(|crash| crash.id);
    due.dedup_by_key(|crash| crash.id);
    due.truncate(MAX_PROBES);
    probes.extend(due.iter().map(|crash| (crash.id, now)));
    drop(state);
    for crash in due {
        tokio::spawn(probe_crash(shared.clone(), crash));
    }
}

/// Probes the server of a presumed crash until it is known whether the process has ended, or until an
/// answer shows that it lives on. Data of other responses is as good as an answer.
async fn probe_crash(shared: Arc<GatewayShared>, crash: ServerCrash) {
    let due = crash.probe_due() + LIVENESS_TIME;
    let mut interval = FIRST_PROBE_DELAY;
    loop {
        let now = Instant::now();
        let until_due = due.saturating_duration_since(now);
        let is_due = until_due.is_zero();
        let timeout = if is_due { PROBE_TIMEOUT } else { until_due };
        let since = if is_due {
            crash.probe_due()
        } else {
            crash.at + FIRST_PROBE_DELAY / 2
        };
        let state = if shows_life(&shared, &crash, since) {
            Some(CrashState::Outlived)
        } else {
            probe_process(&shared, &crash, timeout, is_due).await
        };
        if let Some(state) = state
            && (is_due || state == CrashState::Confirmed)
        {
            return record_outcome(&shared, &crash, state);
        }
        let is_answered = state.is_some() && !is_due;
        shared.lock().suspects.record_answer(crash.id, is_answered);
        if is_answered {
            shared.crash_outcomes.notify_waiters();
        }
        if is_due {
            return;
        }
        sleep_until(due.min(now + interval)).await;
        interval *= PROBE_DELAY_FACTOR;
    }
}

/// Returns whether the process of a presumed crash has sent data since a point in time.
fn shows_life(shared: &GatewayShared, crash: &ServerCrash, since: Instant) -> bool {
    let target = find_process(&shared.lock(), &crash.server, crash.incarnation);
    target.is_some() && shared.has_shown_liveness(&crash.server, since)
}

/// Returns what a probe shows about the process of a presumed crash, if it shows anything.
async fn probe_process(
    shared: &GatewayShared,
    crash: &ServerCrash,
    timeout: Duration,
    is_last: bool,
) -> Option<CrashState> {
    let target = find_process(&shared.lock(), &crash.server, crash.incarnation);
    let Some(target) = target else {
        return Some(CrashState::Confirmed);
    };
    match target.ask(shared, &crash.server, timeout).await {
        Ok(answer) => state_after(process_state(answer, crash.incarnation), crash),
        Err(error) => {
            if is_last {
                log_probe(shared, crash, &error.to_string(), 0);
            }
            None
        }
    }
}

/// Records what became of the process of a presumed crash.
fn record_outcome(shared: &GatewayShared, crash: &ServerCrash, state: CrashState) {
    let mut guard = shared.lock();
    let gateway_state = &mut *guard;
    let concerned = gateway_state.suspects.record_state(crash.id, state);
    for suspect in &concerned {
        // Other gateways probe the same servers.
        if gateway_state.suspects.has_repeated_crashes(*suspect) {
            relay_news(shared, gateway_state, *suspect);
        }
    }
    drop(guard);
    shared.crash_outcomes.notify_waiters();
    let outcome = match state {
        CrashState::Outlived => "backend server has outlived a presumed crash",
        _ => "backend server of a presumed crash has ended",
    };
    log_probe(shared, crash, outcome, concerned.len());
}

/// Returns what the state of a process shows about its presumed crash.
fn state_after(state: ProcessState, crash: &ServerCrash) -> Option<CrashState> {
    match state {
        ProcessState::Replaced | ProcessState::Refusing => Some(CrashState::Confirmed),
        ProcessState::Running => Some(CrashState::Outlived),
        ProcessState::Listening => {
            (crash.at.elapsed() < RESTART_TIME).then_some(CrashState::Outlived)
        }
        ProcessState::Silent => None,
    }
}

fn log_probe(shared: &GatewayShared, crash: &ServerCrash, outcome: &str, concerned: usize) {
    let metrics = &shared.metrics;
    metrics.crash_evidence.with_label_values(&["probe"]).inc();
    let incarnation = crash.incarnation.map(|incarnation| incarnation.0);
    let record = DecisionRecord::new(DecisionKind::Suspect, outcome)
        .chosen(&crash.server)
        .input("source", "probe")
        .input("incarnation", incarnation)
        .input("requests", concerned)
        .input("age_ms", crash.at.elapsed().as_millis() as u64);
    shared.log.write(record);
}
