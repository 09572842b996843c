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
    TokenGrant,
    token_issuers,
    waiting_counts, //
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
    TokenMessage, //
};

use crate::shared::{
    GatewayShared,
    GatewayState, //
};
use crate::tokens::token_messages::{
    add_backlog,
    demand_interval,
    parse_backlog,
    token_demand,
    token_issue,
    token_return,
    waiting_ranks, //
};
use crate::tokens::token_state::ServerDemand;

/// Interval between two rounds while any backend server has a limit.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Interval after which the issuers of a server are chosen again.
const ISSUER_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of servers for whose tokens one round asks.
const MAX_DEMANDS: usize = 32;

/// Issuers of one server's tokens, and what they were told.
struct KnownIssuers {
    issuers: BTreeSet<InstanceId>,
    member_count: usize,
    chosen_at: Instant,
    /// Which of the waiting requests gets the first token from this gateway.
    first_turn: u32,
    asked_at: Option<Instant>,
    /// Number of waiting requests by rank in the latest message.
    told_waiting: BTreeMap<u8, u32>,
}

impl KnownIssuers {
    /// Returns whether the issuers are to be told of the demand now.
    fn is_due(&self, now: Instant, demand: &ServerDemand, gateways: usize) -> bool {
        let Some(asked_at) = self.asked_at else {
            return true;
        };
        let is_changed = self.told_waiting != waiting_counts(&demand.waiting);
        let interval = demand_interval(!demand.waiting.is_empty(), gateways);
        is_changed || demand.asks || now >= asked_at + interval
    }
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
        let mut messages = OpenMessages::new();
        let mut guard = shared.lock();
        let state = &mut *guard;
        let gateways = state.members.len();
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
            view.limit.set_first_turn(known.first_turn);
            view.limit.set_issued_part(now, part);
            let demand = state.token_state.demand_on(now, &view.record);
            issue_tokens(shared, now, view, &demand, &mut messages);
            if is_issuer {
                tell_backlog(now, own, view, gateways, &mut messages);
            }
            if demand.waiting.is_empty() {
                return_tokens(shared, now, view, &mut messages);
            }
            let has_ended = demand.waiting.is_empty() && !known.told_waiting.is_empty();
            let is_wanted = demand.weight > 0.0 || demand.asks || has_ended;
            if !is_wanted || !known.is_due(now, &demand, gateways) || demand_count >= MAX_DEMANDS {
                continue;
            }
            known.asked_at = Some(now);
            known.told_waiting = waiting_counts(&demand.waiting);
            demand_count += 1;
            for issuer in known.issuers.iter().filter(|issuer| *issuer != own) {
                let message = messages.entry(issuer.clone()).or_default();
                message
                    .demands
                    .push(token_demand(now, view, &demand, gateways));
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
            first_turn: rand::random(),
            asked_at: None,
            told_waiting: BTreeMap::new(),
        };
        let known = self.issuers.entry(server.clone()).or_insert_with(create);
        let is_current =
            known.member_count == members.len() && now < known.chosen_at + ISSUER_LIFETIME;
        if !is_current {
            let chosen = create();
            known.issuers = chosen.issuers;
            known.member_count = chosen.member_count;
            known.chosen_at = now;
        }
        known
    }
}

/// Messages to other gateways that are being put together.
type OpenMessages = BTreeMap<InstanceId, TokenMessage>;

/// Issues the tokens of one server that are due.
fn issue_tokens(
    shared: &GatewayShared,
    now: Instant,
    view: &mut BackendView,
    demand: &ServerDemand,
    messages: &mut OpenMessages,
) {
    view.limit.record_own_waiting(now, demand.waiting.clone());
    for (gateway, grant) in view.limit.issue(now, demand.weight) {
        let issued = shared.metrics.tokens.with_label_values(&["issued"]);
        issued.inc_by(grant.count.into());
        let message = messages.entry(gateway).or_default();
        message.issues.push(token_issue(view, grant));
    }
}

/// Tells the gateways that have asked what waits for the tokens of this issuer.
fn tell_backlog(
    now: Instant,
    own: &InstanceId,
    view: &mut BackendView,
    gateways: usize,
    messages: &mut OpenMessages,
) {
    let backlog = view.limit.own_backlog(now);
    for gateway in view.limit.take_asking() {
        let message = messages.entry(gateway).or_default();
        add_backlog(message, view, &backlog);
    }
    view.limit.record_backlog(own.clone(), backlog, gateways);
}

/// Returns tokens that no request waits for any more to their issuers.
fn return_tokens(
    shared: &GatewayShared,
    now: Instant,
    view: &mut BackendView,
    messages: &mut OpenMessages,
) {
    for (issuer, count) in view.limit.take_unused(now) {
        let unused = shared.metrics.tokens.with_label_values(&["unused"]);
        unused.inc_by(count.into());
        let message = messages.entry(issuer).or_default();
        message.demands.push(token_return(view, count));
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
            apply_demand(now, view, peer, demand);
            shared.token_demand.notify_one();
        }
    }
    let gateways = state.members.len();
    for issue in &message.issues {
        if let Some(view) = find_process(state, &issue.server, issue.started_unix_ms) {
            let grant = TokenGrant {
                count: issue.count,
                for_waiting: issue.for_waiting,
            };
            view.limit.receive(now, peer, grant);
            if let Some(backlog) = parse_backlog(now, issue) {
                view.limit.record_backlog(peer.clone(), backlog, gateways);
            }
            let received = shared.metrics.tokens.with_label_values(&["received"]);
            received.inc_by(issue.count.into());
        }
    }
    if !message.issues.is_empty() {
        shared.token_news.notify_waiters();
    }
}

/// Applies what another gateway says of the requests that it has for a server.
fn apply_demand(now: Instant, view: &mut BackendView, peer: &InstanceId, demand: &TokenDemand) {
    if demand.returned > 0 {
        view.limit.take_back(now, demand.returned);
        return;
    }
    let valid = Duration::from_millis(demand.valid_ms.into());
    let weight = demand.per_second.into();
    view.limit.record_demand(peer.clone(), weight, now + valid);
    let waiting = waiting_ranks(now, &demand.waiting);
    let valid = Duration::from_millis(demand.waiting_valid_ms.into());
    view.limit
        .record_waiting(now, peer.clone(), waiting, now + valid);
    if demand.asks {
        view.limit.record_asking(peer.clone());
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
