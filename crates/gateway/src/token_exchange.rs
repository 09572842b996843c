//! Issues tokens for limited backend servers to the gateways that ask for them, by datagrams.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    BackendView,
    token_issuers, //
};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};
use units::{
    IncarnationId,
    InstanceId, //
};
use wire::{
    TokenDemand,
    TokenIssue,
    TokenMessage, //
};

use crate::shared::{
    GatewayShared,
    GatewayState, //
};

/// Interval between two rounds while any backend server has a limit.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between messages about the demand for one server's tokens.
const DEMAND_INTERVAL: Duration = Duration::from_millis(100);
/// The same while requests wait.
const WAITING_DEMAND_INTERVAL: Duration = Duration::from_millis(20);
/// Number of gateways from which on these intervals grow with their number, so that an issuer receives
/// no more messages.
const FULL_RATE_GATEWAYS: usize = 12;
/// Number of intervals for which demand holds.
const DEMAND_LIFETIME_INTERVALS: u32 = 3;
/// Interval after which the issuers of a server are chosen again.
const ISSUER_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of servers for whose tokens one round asks.
const MAX_DEMANDS: usize = 32;

/// Issuers of one server's tokens, and when they were chosen and asked.
struct KnownIssuers {
    issuers: BTreeSet<InstanceId>,
    member_count: usize,
    chosen_at: Instant,
    asked_at: Option<Instant>,
}

/// State of the task between rounds.
struct TokenExchange {
    incarnation: IncarnationId,
    number: u64,
    issuers: BTreeMap<InstanceId, KnownIssuers>,
}

/// Issues tokens and asks for them while any backend server has a limit, until aborted.
pub(crate) async fn exchange_tokens(shared: Arc<GatewayShared>, socket: Arc<UdpSocket>) {
    let mut exchange = TokenExchange {
        incarnation: IncarnationId(rand::random()),
        number: 0,
        issuers: BTreeMap::new(),
    };
    loop {
        if shared.lock().token_state.limited_count == 0 {
            exchange.issuers.clear();
            shared.token_demand.notified().await;
        } else {
            let _ = timeout(ROUND_INTERVAL, shared.token_demand.notified()).await;
        }
        for (address, message) in exchange.run_round(&shared) {
            // Tokens that get lost are not used; demand is sent again.
            let _ = socket.send_to(&message.encode_to_vec(), address).await;
        }
        shared.token_news.notify_waiters();
        sleep(MIN_ROUND_INTERVAL).await;
    }
}

impl TokenExchange {
    /// Issues the tokens that are due, and returns the messages to other gateways.
    fn run_round(&mut self, shared: &GatewayShared) -> Vec<(SocketAddr, TokenMessage)> {
        let now = Instant::now();
        let own = &shared.settings.instance;
        let mut messages: BTreeMap<InstanceId, TokenMessage> = BTreeMap::new();
        let mut guard = shared.lock();
        let state = &mut *guard;
        let mut limited_count = 0;
        let mut demand_count = 0;
        for view in state.fleet.views_mut() {
            if view.limit.rate().is_none() {
                continue;
            }
            limited_count += 1;
            let known = self.known_issuers(now, &view.record.instance, &state.members);
            let is_issuer = known.issuers.contains(own) && state.members.contains_key(own);
            let part = if is_issuer {
                1.0 / known.issuers.len() as f64
            } else {
                0.0
            };
            view.limit.set_issued_part(now, part);
            let (weight, is_waiting) = state.token_state.demand_on(now, &view.record);
            for (gateway, count) in view.limit.issue(now, weight) {
                let issued = shared.metrics.tokens.with_label_values(&["issued"]);
                issued.inc_by(count.into());
                let message = messages.entry(gateway).or_default();
                message.issues.push(token_issue(view, count));
            }
            let interval = demand_interval(is_waiting, state.members.len());
            let is_due = known.asked_at.is_none_or(|at| now >= at + interval);
            if weight <= 0.0 || !is_due || demand_count >= MAX_DEMANDS {
                continue;
            }
            known.asked_at = Some(now);
            demand_count += 1;
            let lifetime = demand_interval(false, state.members.len()) * DEMAND_LIFETIME_INTERVALS;
            for issuer in known.issuers.iter().filter(|issuer| *issuer != own) {
                let message = messages.entry(issuer.clone()).or_default();
                message.demands.push(token_demand(view, weight, lifetime));
            }
        }
        state.token_state.limited_count = limited_count;
        shared.metrics.limited_servers.set(limited_count as i64);
        let members = &state.members;
        state
            .token_state
            .received
            .retain(|gateway, _| members.contains_key(gateway));
        let addressed = messages.into_iter().filter_map(|(gateway, message)| {
            let address = *members.get(&gateway)?;
            Some((address, message))
        });
        let mut addressed: Vec<(SocketAddr, TokenMessage)> = addressed.collect();
        for (_, message) in &mut addressed {
            self.number += 1;
            message.instance = own.to_string();
            message.incarnation = self.incarnation.0;
            message.number = self.number;
        }
        addressed
    }

    /// Returns the issuers of a server's tokens. They are chosen again when the gateways change.
    fn known_issuers(
        &mut self,
        now: Instant,
        server: &InstanceId,
        members: &BTreeMap<InstanceId, SocketAddr>,
    ) -> &mut KnownIssuers {
        let create = || KnownIssuers {
            issuers: token_issuers(server, members.keys()),
            member_count: members.len(),
            chosen_at: now,
            asked_at: None,
        };
        let known = self.issuers.entry(server.clone()).or_insert_with(create);
        let is_current =
            known.member_count == members.len() && now < known.chosen_at + ISSUER_LIFETIME;
        if !is_current {
            let asked_at = known.asked_at;
            *known = KnownIssuers {
                asked_at,
                ..create()
            };
        }
        known
    }
}

fn demand_interval(is_waiting: bool, gateways: usize) -> Duration {
    let interval = if is_waiting {
        WAITING_DEMAND_INTERVAL
    } else {
        DEMAND_INTERVAL
    };
    interval.mul_f64((gateways as f64 / FULL_RATE_GATEWAYS as f64).max(1.0))
}

fn token_issue(view: &BackendView, count: u32) -> TokenIssue {
    TokenIssue {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
        count,
    }
}

fn token_demand(view: &BackendView, weight: f64, lifetime: Duration) -> TokenDemand {
    TokenDemand {
        server: view.record.instance.to_string(),
        started_unix_ms: view.record.started_unix_ms,
        per_second: weight as f32,
        valid_ms: lifetime.as_millis() as u32,
    }
}

/// Applies a message about tokens, if `data` is one. Returns whether it is.
pub(crate) fn accept_token_message(
    shared: &GatewayShared,
    sender: SocketAddr,
    data: &[u8],
) -> bool {
    let Ok(message) = TokenMessage::decode(data) else {
        return false;
    };
    let Ok(peer) = message.instance.parse::<InstanceId>() else {
        return false;
    };
    let mut guard = shared.lock();
    let state = &mut *guard;
    if state.members.get(&peer).map(SocketAddr::ip) == Some(sender.ip())
        && is_latest(state, &peer, &message)
    {
        apply_message(shared, state, &peer, &message);
    }
    true
}

/// Returns whether a message is later than those received, so that no token counts twice.
fn is_latest(state: &mut GatewayState, peer: &InstanceId, message: &TokenMessage) -> bool {
    let received = &mut state.token_state.received;
    let known = received.insert(peer.clone(), (message.incarnation, message.number));
    let is_latest = known.is_none_or(|(incarnation, number)| {
        incarnation != message.incarnation || number < message.number
    });
    if let Some(known) = known.filter(|_| !is_latest) {
        received.insert(peer.clone(), known);
    }
    is_latest
}

fn apply_message(
    shared: &GatewayShared,
    state: &mut GatewayState,
    peer: &InstanceId,
    message: &TokenMessage,
) {
    let now = Instant::now();
    for demand in &message.demands {
        let view = find_process(state, &demand.server, demand.started_unix_ms);
        if let Some(view) = view {
            let expires_at = now + Duration::from_millis(demand.valid_ms.into());
            let weight = demand.per_second.into();
            view.limit.record_demand(peer.clone(), weight, expires_at);
            shared.token_demand.notify_one();
        }
    }
    for issue in &message.issues {
        if let Some(view) = find_process(state, &issue.server, issue.started_unix_ms) {
            view.limit.receive(now, issue.count);
            let received = shared.metrics.tokens.with_label_values(&["received"]);
            received.inc_by(issue.count.into());
        }
    }
    if !message.issues.is_empty() {
        shared.token_news.notify_waiters();
    }
}

fn find_process<'a>(
    state: &'a mut GatewayState,
    server: &str,
    started_unix_ms: Option<u64>,
) -> Option<&'a mut BackendView> {
    let server = server.parse().ok()?;
    state.fleet.process_mut(&server, started_unix_ms)
}
