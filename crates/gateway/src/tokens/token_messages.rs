//! Messages by which gateways tell of demand, tokens and waiting requests.

use std::time::Duration;

use policy::{
    BackendView,
    TokenBacklog,
    TokenGrant,
    WaitingRanks,
    WaitingRequests,
    waiting_counts, //
};
use tokio::time::Instant;
use wire::{
    TokenDemand,
    TokenIssue,
    TokenMessage,
    WaitingCount, //
};

use crate::clock::{
    age_ms,
    time_before, //
};
use crate::tokens::token_state::ServerDemand;

/// Interval between messages about the demand for one server's tokens.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// The same while requests wait.
const WAITING_DEMAND_INTERVAL: Duration = Duration::from_millis(20);
/// Number of gateways from which on these intervals grow with their number, so that an issuer receives
/// no more messages.
const FULL_RATE_GATEWAYS: usize = 12;
/// Number of intervals for which demand holds.
const DEMAND_LIFETIME_INTERVALS: u32 = 3;
/// Maximum number of waiting requests of one rank that one gateway has told of.
const MAX_WAITING: u32 = 10_000;

/// Returns the interval between messages about the demand for one server's tokens.
pub(crate) fn demand_interval(is_waiting: bool, gateways: usize) -> Duration {
    let interval = if is_waiting {
        WAITING_DEMAND_INTERVAL
    } else {
        DEMAND_INTERVAL
    };
    interval.mul_f64((gateways as f64 / FULL_RATE_GATEWAYS as f64).max(1.0))
}

/// Returns the tokens of a server for one gateway.
pub(crate) fn token_issue(view: &BackendView, grant: TokenGrant) -> TokenIssue {
    TokenIssue {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
        count: grant.count,
        for_waiting: grant.for_waiting,
        ..TokenIssue::default()
    }
}

/// Adds what waits for the tokens of a server to a message, which may hold tokens of that server.
pub(crate) fn add_backlog(message: &mut TokenMessage, view: &BackendView, backlog: &TokenBacklog) {
    let server = view.record.instance.as_str();
    let position = message
        .issues
        .iter()
        .position(|issue| issue.server == server);
    let position = position.unwrap_or_else(|| {
        message
            .issues
            .push(token_issue(view, TokenGrant::default()));
        message.issues.len() - 1
    });
    let issue = &mut message.issues[position];
    let waiting = backlog.waiting.iter();
    let waiting = waiting.map(|(rank, count)| WaitingCount {
        rank: (*rank).into(),
        count: *count,
        waited_ms: 0,
    });
    issue.waiting = waiting.collect();
    issue.credit = Some(backlog.credit);
}

/// Returns tokens of a server that go back to their issuer.
pub(crate) fn token_return(view: &BackendView, count: u32) -> TokenDemand {
    TokenDemand {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
        returned: count,
        ..TokenDemand::default()
    }
}

/// Returns the demand of this gateway for the tokens of a server.
pub(crate) fn token_demand(
    now: Instant,
    view: &BackendView,
    demand: &ServerDemand,
    gateways: usize,
) -> TokenDemand {
    let lifetime = |is_waiting| demand_interval(is_waiting, gateways) * DEMAND_LIFETIME_INTERVALS;
    let waiting = demand.waiting.iter();
    let waiting = waiting.map(|(rank, waiting)| WaitingCount {
        rank: (*rank).into(),
        count: waiting.count,
        waited_ms: age_ms(now, waiting.since),
    });
    TokenDemand {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
        per_second: demand.weight as f32,
        valid_ms: lifetime(false).as_millis() as u32,
        waiting: waiting.collect(),
        waiting_valid_ms: lifetime(true).as_millis() as u32,
        returned: 0,
        asks: demand.asks || !demand.waiting.is_empty(),
    }
}

/// Returns the waiting requests in a message. Ranks that no request can have are left out.
pub(crate) fn waiting_ranks(now: Instant, counts: &[WaitingCount]) -> WaitingRanks {
    let ranks = counts.iter().filter_map(|waiting| {
        let rank = u8::try_from(waiting.rank).ok()?;
        let requests = WaitingRequests {
            count: waiting.count.clamp(1, MAX_WAITING),
            since: time_before(now, waiting.waited_ms),
        };
        Some((rank, requests))
    });
    ranks.collect()
}

/// Returns what an issuer says about the requests that wait for its tokens, if it says anything.
pub(crate) fn parse_backlog(now: Instant, issue: &TokenIssue) -> Option<TokenBacklog> {
    let credit = issue.credit.filter(|credit| credit.is_finite())?;
    Some(TokenBacklog {
        waiting: waiting_counts(&waiting_ranks(now, &issue.waiting)),
        credit,
        at: now,
    })
}
