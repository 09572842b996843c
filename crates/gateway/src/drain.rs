//! Requests during the graceful shutdown: which are accepted, and when the others are told.

use std::sync::Arc;
use std::time::Duration;

use logs::{
    DecisionKind,
    DecisionRecord, //
};
use policy::{
    AnswerEstimate,
    AnswerSample,
    DrainDecision,
    DrainWindow,
    EngineStage,
    RouteRule, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::{
    RouteName,
    ServiceName, //
};
use web::{
    ConnectionUse,
    FIRST_REQUEST_TIME, //
};

use crate::request_error::RequestError;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Time for which a draining gateway still accepts connections. The load balancer probes readiness
/// once a second and stops sending requests after two probes that report not ready.
pub(crate) const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Interval between checks whether a request has been sent to a backend server meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the window of a shutdown that starts now. A connection that the load balancer has opened until it
/// notices may bring its first request a little later.
pub(crate) fn start_window(grace_period: Duration) -> DrainWindow {
    let notice_time = BALANCER_NOTICE_TIME + FIRST_REQUEST_TIME;
    DrainWindow::new(Instant::now(), notice_time, grace_period)
}

/// What a decision about a request during the shutdown needs to know of it.
pub(crate) struct DrainRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) rule: &'a RouteRule,
    pub(crate) output_tokens: u32,
    pub(crate) arrived: Instant,
    /// When its answer has to be complete at the latest, for the caller and the route.
    pub(crate) deadline: Instant,
    pub(crate) connection_use: ConnectionUse,
}

/// Returns whether a request that arrives now is accepted, and logs why.
pub(crate) fn accepts_request(shared: &GatewayShared, request: &DrainRequest<'_>) -> bool {
    let Some(window) = *shared.drain.borrow() else {
        return true;
    };
    let now = Instant::now();
    let rule = request.rule;
    let estimate = estimate_answer(&shared.lock(), now, rule, request.output_tokens);
    let decision = window.decide(now, request.deadline, &estimate);
    let is_accepted = decision != DrainDecision::Refused;
    let reason = if is_accepted {
        "request accepted while the gateway stops"
    } else {
        "request refused, since the gateway stops"
    };
    let connection_use = request.connection_use.as_str();
    let decisions = &shared.metrics.drain_decisions;
    decisions
        .with_label_values(&[decision.as_str(), connection_use])
        .inc();
    let until_deadline = request.deadline.saturating_duration_since(now);
    let record = describe(
        DecisionRecord::new(DecisionKind::Drain, reason),
        &window,
        now,
        &estimate,
    )
    .request(request.id)
    .class(&rule.name)
    .input("deadline_ms", until_deadline.as_millis() as u64)
    .input("connection", connection_use);
    shared.log.write(record);
    is_accepted
}

/// An answer under way, from the arrival of its request until it is dropped.
pub(crate) struct RunningAnswer {
    shared: Arc<GatewayShared>,
    route: RouteName,
    arrived: Instant,
}

impl RunningAnswer {
    pub(crate) fn start(shared: &Arc<GatewayShared>, route: &RouteName, arrived: Instant) -> Self {
        shared.lock().answer_times.start(route, arrived);
        Self {
            shared: shared.clone(),
            route: route.clone(),
            arrived,
        }
    }
}

impl Drop for RunningAnswer {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.answer_times.finish(&self.route, self.arrived);
    }
}

/// Records how long a complete answer has taken, and how much of that time it took to make it.
pub(crate) fn record_answer(shared: &GatewayShared, rule: &RouteRule, sample: AnswerSample) {
    let mut state = shared.lock();
    state
        .answer_times
        .record(Instant::now(), &rule.name, sample);
}

/// Waits until the gateway stops and a request has to be given up. Returns the error, which depends on
/// whether a backend server may have run the request.
pub(crate) async fn give_up(
    shared: &GatewayShared,
    request: &DrainRequest<'_>,
    may_have_run: impl Fn() -> bool,
) -> RequestError {
    let window = await_drain(shared).await;
    loop {
        let now = Instant::now();
        let estimate = estimate_answer(&shared.lock(), now, request.rule, 0);
        let has_run = may_have_run();
        let (arrived, deadline) = (request.arrived, request.deadline);
        let Some(at) = window.give_up_at(arrived, deadline, has_run, &estimate) else {
            return std::future::pending().await;
        };
        if now < at {
            sleep_until(at.min(now + CHECK_INTERVAL)).await;
            continue;
        }
        let reason = "request given up, since the gateway ends before it can be answered";
        let record = DecisionRecord::new(DecisionKind::Finish, reason);
        let record = describe(record, &window, now, &estimate)
            .request(request.id)
            .input("may_have_run", has_run);
        shared.log.write(record);
        return if has_run {
            RequestError::Unsure("leaving")
        } else {
            RequestError::Draining
        };
    }
}

/// Adds the inputs of a decision during the shutdown to its record.
fn describe(
    record: DecisionRecord,
    window: &DrainWindow,
    now: Instant,
    estimate: &AnswerEstimate,
) -> DecisionRecord {
    let millis = |duration: Duration| duration.as_millis() as u64;
    let left = window.answer_by.saturating_duration_since(now);
    record
        .input(
            "stopping_ms",
            millis(now.saturating_duration_since(window.since)),
        )
        .input("left_ms", millis(left))
        .input("longest_ms", millis(estimate.longest))
        .input("oldest_running_ms", millis(estimate.oldest_running))
        .input("least_total_ms", millis(estimate.least_total))
        .input("least_run_ms", millis(estimate.least_run))
}

async fn await_drain(shared: &GatewayShared) -> DrainWindow {
    let mut drains = shared.drain.subscribe();
    match drains.wait_for(Option::is_some).await.map(|window| *window) {
        Ok(Some(window)) => window,
        // The sender lives as long as the gateway.
        Ok(None) | Err(_) => std::future::pending().await,
    }
}

/// Estimates how long an answer takes that begins now.
fn estimate_answer(
    state: &GatewayState,
    now: Instant,
    rule: &RouteRule,
    output_tokens: u32,
) -> AnswerEstimate {
    let rounds = rounds_ahead(state, rule);
    let unloaded = unloaded_time(state, rule, output_tokens);
    state
        .answer_times
        .estimate(now, &rule.name, rounds, unloaded)
}

/// Returns the number of full sets of requests at the backend server of a route with the shortest queue.
fn rounds_ahead(state: &GatewayState, rule: &RouteRule) -> u32 {
    let serves = |service: &ServiceName| rule.shares.iter().any(|share| share.service == *service);
    let views = state.fleet.views().filter(|view| {
        let record = &view.record;
        serves(&record.service) && !record.draining && record.stage != Some(EngineStage::Prefill)
    });
    let rounds = views.map(|view| view.total_load().requests / view.record.slots.max(1));
    rounds.min().unwrap_or_default()
}

/// Returns the time of an answer on idle servers as far as it is known without recent ones.
fn unloaded_time(state: &GatewayState, rule: &RouteRule, output_tokens: u32) -> Duration {
    if !rule.kind.is_stream() {
        return rule.target;
    }
    let service = rule.shares.first().map(|share| &share.service);
    let speeds = service.and_then(|service| state.speeds.get(service));
    let decode = speeds.map(|speeds| speeds.decode).unwrap_or_default();
    let millis = decode.ms_per_token(1.0) * f64::from(output_tokens);
    rule.target + Duration::from_millis(millis as u64)
}
