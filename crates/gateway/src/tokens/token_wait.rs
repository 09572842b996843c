//! Waiting for a token, or for the end of a rest, while no backend server of a group may take a request.

use std::sync::{
    Arc,
    MutexGuard, //
};
use std::time::Duration;

use policy::{
    EngineStage,
    WaiterId, //
};
use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::request_error::RequestError;
use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::token_estimate::{
    Shortage,
    expected_rate,
    expected_wait,
    group_backlog,
    longest_expected_wait,
    next_rest_end,
    shortage,
    stage_shortage, //
};
use crate::tokens::token_state::ServerGroup;

/// Wait at which a request gives up, as a share of the latency target.
const LONGEST_WAIT_SHARE: f64 = 0.7;

/// Time in which the issuers of tokens say how many requests wait.
const ANSWER_TIME: Duration = Duration::from_millis(100);

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
        self.shared.token_demand.notify_one();
    }
}

/// Selects a backend server by `select`. If all are at their limits or rest, waits until one may take
/// the request and it is the request's turn, or fails at once if that would take too long.
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
    let (id, mut is_expected) = match join_queue(context, history, &group) {
        None => return Ok(select()),
        Some(Ok(joined)) => joined,
        Some(Err(error)) => return Err(error),
    };
    let mut place = QueuePlace {
        shared,
        group: &group,
        id,
        is_served: false,
    };
    shared.token_demand.notify_one();
    let joined_at = Instant::now();
    let give_up_at = if history.has_prefilled() {
        // The work of the prefill engine would be lost.
        context.deadline
    } else {
        let give_up_at = joined_at + context.rule.target.mul_f64(LONGEST_WAIT_SHARE);
        give_up_at.min(context.deadline)
    };
    loop {
        let news = shared.token_news.notified();
        if is_head(&shared.lock(), &group, id)
            && let Some(selected) = select()
        {
            place.is_served = true;
            return Ok(Some(selected));
        }
        if !is_expected {
            is_expected = check_expected(context, history, &group, joined_at)?;
        }
        let rest_end = next_rest_end(&shared.lock(), history, &group);
        tokio::select! {
            () = news => {}
            () = sleep_until(rest_end.unwrap_or(give_up_at)), if rest_end.is_some() => {}
            () = sleep_until(joined_at + ANSWER_TIME), if !is_expected => {}
            () = sleep_until(give_up_at) => {
                let error = give_up(context, history, &group);
                drop(place);
                return Err(error);
            }
        }
    }
}

/// Returns whether a request that has joined the queue of its group is expected to get a token in time,
/// or false if the issuers have yet to say what waits. Fails if it is not.
fn check_expected(
    context: &RequestContext,
    history: &AttemptHistory,
    group: &ServerGroup,
    joined_at: Instant,
) -> Result<bool, RequestError> {
    let now = Instant::now();
    let state = context.shared.lock();
    let (wait, is_told) = expected_wait(context, &state, now, group, Shortage::Tokens, true);
    if !is_told && now < joined_at + ANSWER_TIME {
        return Ok(false);
    }
    if wait <= longest_expected_wait(context) {
        return Ok(true);
    }
    Err(refuse(
        context,
        history,
        state,
        group,
        Shortage::Tokens,
        wait,
    ))
}

/// Fails if all backend servers of a stage are at their limits or rest and none is expected to take the
/// request in time, so that nothing is done for a request that will not be served.
pub(crate) async fn check_tokens(
    context: &RequestContext,
    history: &AttemptHistory,
    stage: EngineStage,
) -> Result<(), RequestError> {
    if context.shared.lock().token_state.limited_count > 0 {
        ask_for_backlog(context, history, stage).await;
    }
    let now = Instant::now();
    let group = context.server_group(history, Some(stage));
    let state = context.shared.lock();
    let Some(shortage) = stage_shortage(&state, history, now, &group) else {
        return Ok(());
    };
    let (wait, _) = expected_wait(context, &state, now, &group, shortage, false);
    if wait <= longest_expected_wait(context) {
        return Ok(());
    }
    Err(refuse(context, history, state, &group, shortage, wait))
}

/// Asks the issuers how many requests wait for tokens of a stage, unless that is known or there is a
/// server without need of one, and waits for the first answer.
async fn ask_for_backlog(context: &RequestContext, history: &AttemptHistory, stage: EngineStage) {
    let shared = &context.shared;
    let group = context.server_group(history, Some(stage));
    let give_up_at = Instant::now() + ANSWER_TIME;
    loop {
        let news = shared.token_news.notified();
        {
            let now = Instant::now();
            let mut state = shared.lock();
            let shortage = stage_shortage(&state, history, now, &group);
            let is_known = !matches!(shortage, Some(Shortage::Tokens))
                || group_backlog(&state, now, &group).is_some();
            if is_known || now >= give_up_at {
                return;
            }
            let demand = state.token_state.groups.entry(group.clone()).or_default();
            demand.asks_until = Some(give_up_at);
        }
        shared.token_demand.notify_one();
        tokio::select! {
            () = news => {}
            () = sleep_until(give_up_at) => {}
        }
    }
}

/// Returns the error for a request that has waited as long as it may.
fn give_up(
    context: &RequestContext,
    history: &AttemptHistory,
    group: &ServerGroup,
) -> RequestError {
    let now = Instant::now();
    let state = context.shared.lock();
    let shortage = shortage(&state, history, now, group).unwrap_or(Shortage::Tokens);
    let wait = shortage.earliest(now);
    refuse(context, history, state, group, shortage, wait)
}

/// Returns the error for a request that would have to wait too long.
fn refuse(
    context: &RequestContext,
    history: &AttemptHistory,
    mut state: MutexGuard<'_, GatewayState>,
    group: &ServerGroup,
    shortage: Shortage,
    wait: Duration,
) -> RequestError {
    let now = Instant::now();
    let rate = expected_rate(&state, now, group, shortage);
    let queue = state.token_state.queue_mut(group);
    let delay = queue.return_delay(now, wait, rate, rand::random());
    drop(state);
    refusal(context, history, shortage, delay)
}

fn has_waiting(state: &GatewayState, group: &ServerGroup) -> bool {
    let demand = state.token_state.groups.get(group);
    demand.is_some_and(|demand| !demand.queue.is_empty())
}

/// Returns whether a backend server of a group has not turned the request away.
fn has_candidate(state: &GatewayState, history: &AttemptHistory, group: &ServerGroup) -> bool {
    let filter = group.filter(&history.excluded);
    let mut views = state.fleet.views();
    views.any(|view| filter.admits(&view.record))
}

fn is_head(state: &GatewayState, group: &ServerGroup, id: WaiterId) -> bool {
    let demand = state.token_state.groups.get(group);
    demand.is_some_and(|demand| demand.queue.head() == Some(id))
}

/// Adds a request to the queue of its group, or returns the error for one that would wait too long.
/// Returns `None` if neither tokens nor the ends of rests are what the request lacks, as after all servers
/// have turned it away, and false with the place if it is not known yet how many requests wait at other
/// gateways.
fn join_queue(
    context: &RequestContext,
    history: &AttemptHistory,
    group: &ServerGroup,
) -> Option<Result<(WaiterId, bool), RequestError>> {
    let now = Instant::now();
    let mut state = context.shared.lock();
    let known = shortage(&state, history, now, group);
    if known.is_none() && !(has_waiting(&state, group) && has_candidate(&state, history, group)) {
        return None;
    }
    let shortage = known.unwrap_or(Shortage::Tokens);
    let rate = expected_rate(&state, now, group, shortage);
    let (wait, is_told) = expected_wait(context, &state, now, group, shortage, false);
    let is_expected = is_told || !matches!(shortage, Shortage::Tokens) || history.has_prefilled();
    let max_wait = if is_expected && !history.has_prefilled() {
        longest_expected_wait(context)
    } else {
        Duration::MAX
    };
    let queue = state.token_state.queue_mut(group);
    let rank = context.rank();
    let joined = queue.join(now, rank, wait, max_wait, rate, rand::random());
    drop(state);
    let joined = joined.map(|id| (id, is_expected));
    Some(joined.map_err(|delay| refusal(context, history, shortage, delay)))
}

fn refusal(
    context: &RequestContext,
    history: &AttemptHistory,
    shortage: Shortage,
    delay: Duration,
) -> RequestError {
    let tokens = &context.shared.metrics.tokens;
    match shortage {
        Shortage::Tokens => tokens.with_label_values(&["missing"]).inc(),
        Shortage::Rest(_) => {}
    }
    match shortage {
        Shortage::Tokens if history.maybe_processed > 0 => RequestError::Unsure("limited"),
        Shortage::Tokens => RequestError::Limited(delay),
        Shortage::Rest(_) if history.maybe_processed > 0 => RequestError::Unsure("resting"),
        Shortage::Rest(_) => RequestError::Resting(delay),
    }
}
