//! Waiting for a token while all backend servers of a group are at their limits.

use std::sync::Arc;
use std::time::Duration;

use policy::{
    EngineStage,
    WaiterId, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};
use units::RequestRate;

use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::token_state::ServerGroup;

/// Longest expected wait for a token, as a share of the latency target.
const EXPECTED_WAIT_SHARE: f64 = 0.5;
/// Wait at which a request gives up, as a share of the latency target.
const LONGEST_WAIT_SHARE: f64 = 0.7;

/// Place of a request in the queue of its group, left on drop.
struct QueuePlace<'a> {
    shared: &'a GatewayShared,
    group: &'a ServerGroup,
    id: WaiterId,
    is_served: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(demand) = state.token_state.groups.get_mut(self.group) {
            demand.queue.leave(self.id, self.is_served);
        }
        drop(state);
        self.shared.token_news.notify_waiters();
    }
}

/// Selects a backend server by `select`. If all are at their limits, waits until one has a token and it
/// is the request's turn, or fails at once if that would take too long.
pub(crate) async fn select_with_token<T>(
    context: &Arc<RequestContext>,
    history: &AttemptHistory,
    stage: Option<EngineStage>,
    mut select: impl FnMut() -> Option<T>,
) -> Result<Option<T>, RequestError> {
    let shared = &context.shared;
    let group = context.server_group(history, stage);
    if !has_waiting(&shared.lock(), &group)
        && let Some(selected) = select()
    {
        return Ok(Some(selected));
    }
    let id = match join_queue(context, history, &group) {
        None => return Ok(select()),
        Some(Ok(id)) => id,
        Some(Err(delay)) => return Err(refusal(context, history, delay)),
    };
    let mut place = QueuePlace {
        shared,
        group: &group,
        id,
        is_served: false,
    };
    shared.token_demand.notify_one();
    let give_up_at = Instant::now() + context.rule.target.mul_f64(LONGEST_WAIT_SHARE);
    let give_up_at = give_up_at.min(context.deadline);
    loop {
        let news = shared.token_news.notified();
        if is_head(&shared.lock(), &group, id)
            && let Some(selected) = select()
        {
            place.is_served = true;
            return Ok(Some(selected));
        }
        tokio::select! {
            () = news => {}
            () = sleep_until(give_up_at) => {
                let delay = return_delay(shared, &group);
                drop(place);
                return Err(refusal(context, history, delay));
            }
        }
    }
}

/// Fails if all backend servers of a stage are at their limits and a token is not expected in time, so
/// that nothing is done for a request that will not be served.
pub(crate) fn check_tokens(
    context: &RequestContext,
    history: &AttemptHistory,
    stage: EngineStage,
) -> Result<(), RequestError> {
    let now = Instant::now();
    let group = context.server_group(history, Some(stage));
    let mut state = context.shared.lock();
    let usable = state.fleet.usable(now, group.filter(&history.excluded));
    let has_token = !usable.is_empty();
    if has_token || !is_limited(&state, history, now, &group) {
        return Ok(());
    }
    let rate = token_rate(&state, now, &group);
    let max_wait = longest_expected_wait(context);
    let demand = state.token_state.groups.entry(group).or_default();
    let wait = demand.queue.expected_wait(context.rule.rank, rate);
    if wait <= max_wait {
        return Ok(());
    }
    let delay = demand.queue.return_delay(now, wait, rate, rand::random());
    drop(state);
    Err(refusal(context, history, delay))
}

/// Returns whether a backend server of a group lacks nothing but a token.
fn is_limited(
    state: &GatewayState,
    history: &AttemptHistory,
    now: Instant,
    group: &ServerGroup,
) -> bool {
    let filter = group.filter(&history.excluded);
    state.fleet.without_token(now, filter).next().is_some()
}

fn longest_expected_wait(context: &RequestContext) -> Duration {
    let max_wait = context.rule.target.mul_f64(EXPECTED_WAIT_SHARE);
    max_wait.min(context.time_left() / 2)
}

fn has_waiting(state: &GatewayState, group: &ServerGroup) -> bool {
    let demand = state.token_state.groups.get(group);
    demand.is_some_and(|demand| !demand.queue.is_empty())
}

fn is_head(state: &GatewayState, group: &ServerGroup, id: WaiterId) -> bool {
    let demand = state.token_state.groups.get(group);
    demand.is_some_and(|demand| demand.queue.head() == Some(id))
}

/// Adds a request to the queue of its group, or returns when its caller may come back. Returns `None`
/// if tokens are not what the request lacks.
fn join_queue(
    context: &RequestContext,
    history: &AttemptHistory,
    group: &ServerGroup,
) -> Option<Result<WaiterId, Duration>> {
    let now = Instant::now();
    let mut state = context.shared.lock();
    if !is_limited(&state, history, now, group) && !has_waiting(&state, group) {
        return None;
    }
    let rate = token_rate(&state, now, group);
    let max_wait = longest_expected_wait(context);
    let demand = state.token_state.groups.entry(group.clone()).or_default();
    let rank = context.rule.rank;
    Some(demand.queue.join(now, rank, max_wait, rate, rand::random()))
}

/// Returns the tokens per second that come to this gateway: as many as lately, or its part if the
/// gateways share the limits evenly.
fn token_rate(state: &GatewayState, now: Instant, group: &ServerGroup) -> f64 {
    let views = state.fleet.views();
    let in_group = views.filter(|view| group.contains(&view.record));
    let rates = in_group.filter_map(|view| view.limit.rate());
    let total: f64 = rates.map(RequestRate::per_second).sum();
    let taken = state.token_state.taken_rate(now, group);
    let even_part = total / state.members.len().max(1) as f64;
    taken.max(even_part)
}

fn return_delay(shared: &GatewayShared, group: &ServerGroup) -> Duration {
    let now = Instant::now();
    let mut state = shared.lock();
    let rate = token_rate(&state, now, group);
    let demand = state.token_state.groups.entry(group.clone()).or_default();
    demand
        .queue
        .return_delay(now, Duration::ZERO, rate, rand::random())
}

fn refusal(context: &RequestContext, history: &AttemptHistory, delay: Duration) -> RequestError {
    let tokens = &context.shared.metrics.tokens;
    tokens.with_label_values(&["missing"]).inc();
    if history.maybe_processed > 0 {
        RequestError::Unsure("limited")
    } else {
        RequestError::Limited(delay)
    }
}
