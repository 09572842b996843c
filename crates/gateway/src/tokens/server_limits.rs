//! Learns the limits that backend servers name, from their answers and from the other gateways.

use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use platform::StatedLimit;
use policy::{
    LimitChange,
    LimitObservation, //
};
use tokio::time::Instant;
use units::{
    InstanceId,
    RequestRate, //
};
use wire::LimitReport;

use crate::clock::{
    age_ms,
    time_before, //
};
use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Maximum number of limits in one load report.
const MAX_REPORTED_LIMITS: usize = 64;
/// Maximum number of servers whose malformed limits are logged.
const MAX_MALFORMED_LIMITS: usize = 1_024;
/// Time after the latest answer for which an ended limit is reported to the peers.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(5);

/// Attempt whose answer may name a limit.
#[derive(Debug, Clone)]
pub(crate) struct LimitQuestion {
    pub(crate) instance: InstanceId,
    /// Start of the process that was asked.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) asked_at: Instant,
}

impl LimitQuestion {
    /// Notes that a backend server is about to be sent a request.
    pub(crate) fn new(shared: &GatewayShared, instance: &InstanceId) -> Self {
        let state = shared.lock();
        let view = state.fleet.get(instance);
        Self {
            instance: instance.clone(),
            started_unix_ms: view.and_then(|view| view.record.started_unix_ms),
            asked_at: Instant::now(),
        }
    }
}

/// Records what an answer says about the limit of its server.
pub(crate) fn record_stated_limit(
    shared: &GatewayShared,
    question: &LimitQuestion,
    stated: StatedLimit,
) {
    let rate = match stated {
        StatedLimit::Rate(rate) => Some(rate),
        StatedLimit::None | StatedLimit::Malformed => None,
    };
    let observation = LimitObservation {
        rate,
        asked_at: question.asked_at,
        answered_at: Instant::now(),
    };
    let mut state = shared.lock();
    let malformed = &mut state.token_state.malformed_limits;
    let is_first_malformed = stated == StatedLimit::Malformed
        && malformed.len() < MAX_MALFORMED_LIMITS
        && malformed.insert(question.instance.clone());
    if is_first_malformed {
        shared.metrics.malformed_limits.inc();
        let record = DecisionRecord::new(
            DecisionKind::Limit,
            "backend server names a limit that is not a decimal number; taken for none",
        );
        shared
            .log
            .write(record.chosen(&question.instance).failure());
    }
    let started = question.started_unix_ms;
    observe(
        shared,
        &mut state,
        &question.instance,
        started,
        observation,
        "own",
    );
}

/// Merges an observation of a limit into what is known of the server. One of another process is dropped.
fn observe(
    shared: &GatewayShared,
    state: &mut GatewayState,
    server: &InstanceId,
    started_unix_ms: Option<u64>,
    observation: LimitObservation,
    source: &str,
) {
    let Some(view) = state.fleet.process_mut(server, started_unix_ms) else {
        return;
    };
    let Some(change) = view.limit.observe(observation) else {
        return;
    };
    let rate = view.limit.rate().map(RequestRate::per_second);
    let record = DecisionRecord::new(DecisionKind::Limit, change.as_str())
        .chosen(server)
        .input("per_second", rate)
        .input("incarnation", started_unix_ms)
        .input("source", source)
        .input(
            "age_ms",
            observation.answered_at.elapsed().as_millis() as u64,
        );
    shared.log.write(record);
    match change {
        LimitChange::Learned => state.token_state.limited_count += 1,
        // Counted again in the next round.
        LimitChange::Ended | LimitChange::Changed => {}
    }
    shared.peer_news.notify_one();
    shared.token_demand.notify_one();
    shared.token_news.notify_waiters();
}

/// Returns the known limits for a load report, the latest observations first.
pub(crate) fn limit_reports(now: Instant, state: &GatewayState) -> Vec<LimitReport> {
    let known = state.fleet.views().filter_map(|view| {
        let observation = view.limit.observation()?;
        let is_current = observation.rate.is_some()
            || now.saturating_duration_since(observation.answered_at) < ENDED_REPORT_TIME;
        is_current.then_some((observation, &view.record))
    });
    let mut known: Vec<_> = known.collect();
    known.sort_by_key(|(observation, _)| std::cmp::Reverse(observation.answered_at));
    known.truncate(MAX_REPORTED_LIMITS);
    let reports = known.into_iter().map(|(observation, record)| LimitReport {
        server: record.instance.to_string(),
        started_unix_ms: record.started_unix_ms,
        per_second: observation.rate.map(RequestRate::per_second),
        asked_age_ms: age_ms(now, observation.asked_at),
        answered_age_ms: age_ms(now, observation.answered_at),
    });
    reports.collect()
}

/// Merges the limits that a peer has reported.
pub(crate) fn merge_limit_reports(
    shared: &GatewayShared,
    peer: &InstanceId,
    reports: &[LimitReport],
) {
    let now = Instant::now();
    let mut state = shared.lock();
    for report in reports {
        let Ok(server) = report.server.parse() else {
            continue;
        };
        let rate = match report.per_second.map(RequestRate::new) {
            None => None,
            Some(Some(rate)) => Some(rate),
            Some(None) => continue,
        };
        let observation = LimitObservation {
            rate,
            asked_at: time_before(now, report.asked_age_ms),
            answered_at: time_before(now, report.answered_age_ms),
        };
        let started = report.started_unix_ms;
        observe(
            shared,
            &mut state,
            &server,
            started,
            observation,
            peer.as_str(),
        );
    }
}
