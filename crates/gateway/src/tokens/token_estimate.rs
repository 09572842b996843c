//! What the backend servers of a group lack to take a request, and how long it would have to wait.

use std::time::Duration;

use policy::{
    GroupBacklog,
    TokenQueue, //
};
use tokio::time::Instant;
use units::RequestRate;

use crate::request::{
    AttemptHistory,
    RequestContext, //
};
use crate::shared::GatewayState;
use crate::tokens::token_state::ServerGroup;

/// Longest expected wait for a token, as a share of the latency target.
const EXPECTED_WAIT_SHARE: f64 = 0.5;
/// Requests per second that a group whose servers have rested is expected to take at first.
const RATE_AFTER_REST: f64 = 20.0;

/// What the backend servers of a group lack to take a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Shortage {
    /// Tokens for their limits.
    Tokens,
    /// Nothing but the ends of their rests, the first of which is then.
    Rest(Instant),
}

impl Shortage {
    /// Returns the time until the first request may be sent.
    pub(crate) fn earliest(self, now: Instant) -> Duration {
        match self {
            Self::Tokens => Duration::ZERO,
            Self::Rest(end) => end.saturating_duration_since(now),
        }
    }
}

/// Returns what the backend servers of a group lack, or `None` if one may take a request.
pub(crate) fn stage_shortage(
    state: &GatewayState,
    history: &AttemptHistory,
    now: Instant,
    group: &ServerGroup,
) -> Option<Shortage> {
    let usable = state.fleet.usable(now, group.filter(&history.excluded));
    if usable.is_empty() {
        shortage(state, history, now, group)
    } else {
        None
    }
}

/// Returns what is known of the requests of all gateways that wait for a token of a group's servers.
pub(crate) fn group_backlog(
    state: &GatewayState,
    now: Instant,
    group: &ServerGroup,
) -> Option<GroupBacklog> {
    let views = state.fleet.views();
    let limited = views.filter(|view| group.contains(&view.record) && view.limit.rate().is_some());
    let demand = state.token_state.groups.get(group);
    let own_waiting = demand.map(|demand| demand.queue.ranks());
    GroupBacklog::new(
        now,
        limited.map(|view| &view.limit),
        &own_waiting.unwrap_or_default(),
        state.members.len(),
    )
}

/// Returns the time after which a request is expected to be sent to one of the group's servers, and
/// whether that rests on what the issuers of tokens say. `is_waiting` tells whether the request is among
/// those that wait.
pub(crate) fn expected_wait(
    context: &RequestContext,
    state: &GatewayState,
    now: Instant,
    group: &ServerGroup,
    shortage: Shortage,
    is_waiting: bool,
) -> (Duration, bool) {
    let rank = context.rank();
    if matches!(shortage, Shortage::Tokens)
        && let Some(backlog) = group_backlog(state, now, group)
    {
        return (backlog.expected_wait(rank, is_waiting), true);
    }
    let rate = expected_rate(state, now, group, shortage);
    let empty = TokenQueue::default();
    let demand = state.token_state.groups.get(group);
    let queue = demand.map_or(&empty, |demand| &demand.queue);
    let wait = queue.expected_wait(rank, rate);
    (shortage.earliest(now).saturating_add(wait), false)
}

/// Returns what the backend servers of a group lack, unless there is none that lacks just this.
pub(crate) fn shortage(
    state: &GatewayState,
    history: &AttemptHistory,
    now: Instant,
    group: &ServerGroup,
) -> Option<Shortage> {
    let filter = group.filter(&history.excluded);
    if state.fleet.without_token(now, filter).next().is_some() {
        return Some(Shortage::Tokens);
    }
    state.fleet.next_rest_end(now, filter).map(Shortage::Rest)
}

/// Returns when the first rest of a group's servers ends, if rests are all that keeps them.
pub(crate) fn next_rest_end(
    state: &GatewayState,
    history: &AttemptHistory,
    group: &ServerGroup,
) -> Option<Instant> {
    let filter = group.filter(&history.excluded);
    state.fleet.next_rest_end(Instant::now(), filter)
}

/// Returns how many requests per second the group's servers are expected to take from this gateway.
pub(crate) fn expected_rate(
    state: &GatewayState,
    now: Instant,
    group: &ServerGroup,
    shortage: Shortage,
) -> f64 {
    match shortage {
        Shortage::Tokens => token_rate(state, now, group),
        Shortage::Rest(_) => RATE_AFTER_REST,
    }
}

/// Returns the longest wait for which a request joins a queue.
pub(crate) fn longest_expected_wait(context: &RequestContext) -> Duration {
    let max_wait = context.rule.target.mul_f64(EXPECTED_WAIT_SHARE);
    max_wait.min(context.time_left() / 2)
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
