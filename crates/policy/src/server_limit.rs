//! Requests that a gateway may send to a backend server which names a limit for all gateways together.
//!
//! Up to three gateways issue the tokens of one server, each an equal part of the limit, to whoever has
//! requests for it. A token that is not issued, or that is lost on its way, is never used, so that the
//! sum stays under the limit however little the gateways know of each other.

mod backlog;
mod observation;
mod shares;
mod waiting;

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

use tokio::time::Instant;
use units::{
    InstanceId,
    RequestRate, //
};

use crate::choose_members;
use backlog::BacklogTable;
pub use backlog::{
    GroupBacklog,
    TokenBacklog, //
};
pub use observation::LimitObservation;
use shares::{
    TokenReceiver,
    TokenShares, //
};
use waiting::WaitingTable;
pub use waiting::{
    WaitingRanks,
    WaitingRequests,
    add_waiting,
    waiting_counts, //
};

/// Number of gateways that issue the tokens of one server. With three, the sum is at most a third over
/// the limit while one gateway knows of another member than the rest.
const ISSUER_COUNT: usize = 3;
/// Time for which an issued token may be used at least.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Longest time for which a token of a low limit may be used.
const MAX_TOKEN_LIFETIME: Duration = Duration::from_secs(4);
/// Number of tokens that may be valid beside those of the shortest lifetime.
const EXTRA_VALID_TOKENS: f64 = 0.5;
/// Time after which a token that was issued for a waiting request, of which there is none any more, goes
/// back to its issuer.
const RETURN_DELAY: Duration = Duration::from_millis(20);
/// Time for which unused tokens of an issuer add up, if that is more than one token.
const CREDIT_TIME: Duration = Duration::from_millis(100);
/// Rate in requests per second that is used of a lower limit, zero included, since only an answer shows
/// that the limit has ended.
const MIN_RATE: f64 = 0.1;
/// Rate in requests per second from which on a limit has no effect.
const MAX_RATE: f64 = 1_000.0;
/// Time without an answer after which a server with a token is asked whether its limit still holds.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest part of a token by which the next one is delayed after tokens no longer added up.
const MAX_DELAYED_PART: f64 = 0.9;
/// Factor of the sequence of these parts.
const PHASE_FACTOR: u32 = 1_664_525;
/// Maximum number of gateways that are told of the backlog at once.
const MAX_ASKING: usize = 1_024;
/// Maximum number of tokens taken from one message.
const MAX_RECEIVED: u32 = 200;
/// Maximum number of requests sent without a token that are made up for later.
const MAX_DEBT: f64 = 8.0;

/// Change of what is known of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The server has named a limit.
    Learned,
    /// The server has named another limit.
    Changed,
    /// The server names no limit any more.
    Ended,
}

impl LimitChange {
    /// Returns the change's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Learned => "limit learned",
            Self::Changed => "limit changed",
            Self::Ended => "limit ended",
        }
    }
}

/// Token that this gateway may use.
#[derive(Debug, Clone)]
struct HeldToken {
    received_at: Instant,
    expires_at: Instant,
    /// Gateway that has issued it, if that takes it back.
    issuer: Option<InstanceId>,
}

/// Tokens issued to one gateway.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens.
    pub count: u32,
    /// Number of those that are for requests which wait, and go back if these have gone.
    pub for_waiting: u32,
}

/// Limit of one process of a backend server, and the tokens that this gateway has for it.
#[derive(Debug, Clone, Default)]
pub struct ServerLimit {
    observation: Option<LimitObservation>,
    /// Part of the limit that this gateway issues.
    issued_part: f64,
    /// Tokens that this gateway may issue. Negative after requests without a token.
    credit: f64,
    credited_at: Option<Instant>,
    /// Whether this gateway has been an issuer of the server's tokens.
    has_issued: bool,
    /// Tokens that have not been saved since the latest was used, as there were as many as may add up.
    unsaved: f64,
    /// State of the sequence of delays that keep issuers apart.
    phase: Option<u32>,
    shares: TokenShares,
    /// Requests that wait for tokens of this gateway.
    waiting: WaitingTable,
    /// Gateways that want to know how many requests wait.
    asking: BTreeSet<InstanceId>,
    /// Requests that wait for the tokens of each issuer.
    backlogs: BacklogTable,
    /// Tokens that this gateway may use, those received first at the front.
    tokens: VecDeque<HeldToken>,
    /// Tokens to be received before one may be used.
    debt: f64,
}

/// Returns the gateways that issue the tokens of a server.
pub fn token_issuers<'a>(
    server: &InstanceId,
    members: impl IntoIterator<Item = &'a InstanceId>,
) -> BTreeSet<InstanceId> {
    choose_members(server, members, ISSUER_COUNT)
}

impl ServerLimit {
    /// Returns the limit in effect.
    pub fn rate(&self) -> Option<RequestRate> {
        let rate = self.observation?.rate?;
        (rate.per_second() < MAX_RATE).then_some(rate)
    }

    /// Returns the latest observation, if the server has named a limit before.
    pub fn observation(&self) -> Option<LimitObservation> {
        self.observation
    }

    /// Records what an answer says about the limit. Returns what changed.
    pub fn observe(&mut self, observation: LimitObservation) -> Option<LimitChange> {
        let before = self.rate();
        let Some(known) = self.observation else {
            // A server that has never named a limit needs no record.
            observation.rate?;
            self.observation = Some(observation);
            return self.rate().map(|_| LimitChange::Learned);
        };
        self.observation = Some(observation.merge(known));
        match (before, self.rate()) {
            (None, Some(_)) => {
                *self = Self {
                    observation: self.observation,
                    ..Self::default()
                };
                Some(LimitChange::Learned)
            }
            (Some(_), None) => Some(LimitChange::Ended),
            (before, after) => (before != after).then_some(LimitChange::Changed),
        }
    }

    /// Sets the part of the limit that this gateway issues, from 0 to 1.
    pub fn set_issued_part(&mut self, now: Instant, part: f64) {
        self.accrue(now);
        if part > 0.0 && !std::mem::replace(&mut self.has_issued, true) {
            self.credit += f64::from(self.phase.unwrap_or_default()) / f64::from(u32::MAX);
        }
        self.issued_part = part;
    }

    /// Returns the tokens per second that all gateways issue together.
    fn whole_rate(&self) -> f64 {
        let rate = self.rate().map_or(0.0, RequestRate::per_second);
        rate.max(MIN_RATE)
    }

    /// Returns the tokens per second that this gateway issues.
    fn issue_rate(&self) -> f64 {
        self.whole_rate() * self.issued_part
    }

    /// Returns the tokens that have come since the latest change of the saved ones.
    fn accrued_since(&self, now: Instant) -> f64 {
        let elapsed = self.credited_at.map_or(Duration::ZERO, |at| {
            now.saturating_duration_since(at) //
        });
        self.issue_rate() * elapsed.as_secs_f64()
    }

    fn credit_at(&self, now: Instant) -> f64 {
        let most = self.most_credit().max(self.credit);
        (self.credit + self.accrued_since(now)).min(most)
    }

    /// Returns the tokens that add up while they are not issued.
    fn most_credit(&self) -> f64 {
        (self.issue_rate() * CREDIT_TIME.as_secs_f64()).max(1.0)
    }

    fn accrue(&mut self, now: Instant) {
        let credit = self.credit_at(now);
        let added = credit - self.credit;
        self.unsaved += self.accrued_since(now) - added;
        self.credit = credit;
        self.credited_at = Some(now);
        self.tokens.retain(|token| now < token.expires_at);
    }

    /// Returns whether this gateway may send the server a request now.
    pub fn has_token(&self, now: Instant) -> bool {
        if self.rate().is_none() {
            return true;
        }
        let is_granted = self.tokens.iter().any(|token| now < token.expires_at);
        let has_others = if self.waiting.keeps_tokens(now) {
            self.waiting.has_peers(now)
        } else {
            self.shares.has_peers(now)
        };
        let may_use_credit = !has_others && self.credit_at(now) >= 1.0;
        self.debt < 1.0 && (is_granted || may_use_credit)
    }

    /// Returns whether only an answer to a further request would show if the limit still holds.
    pub(crate) fn is_due_to_be_asked(&self, now: Instant) -> bool {
        let observation = self.observation.filter(|_| self.rate().is_some());
        observation.is_some_and(|known| now >= known.answered_at + ASK_INTERVAL)
    }

    /// Takes a token for a request. Returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.rate().is_none() {
            return true;
        }
        if !self.has_token(now) {
            return false;
        }
        self.accrue(now);
        if self.tokens.pop_front().is_none() {
            self.spend_credit();
        }
        true
    }

    /// Returns the token of a request that was not sent.
    pub fn give_back(&mut self, now: Instant) {
        if self.rate().is_some() {
            self.hold(now, None);
        }
    }

    /// Counts a request that is sent without a token. Later ones make up for it.
    pub fn charge(&mut self, now: Instant) {
        if self.rate().is_none() || self.take(now) {
            return;
        }
        if self.issued_part > 0.0 {
            self.accrue(now);
            self.credit = (self.credit - 1.0).max(-MAX_DEBT);
        } else {
            self.debt = (self.debt + 1.0).min(MAX_DEBT);
        }
    }

    /// Adds tokens that another gateway has issued to this one.
    pub fn receive(&mut self, now: Instant, issuer: &InstanceId, grant: TokenGrant) {
        if self.rate().is_none() {
            return;
        }
        for number in 0..grant.count.min(MAX_RECEIVED) {
            if self.debt >= 1.0 {
                self.debt -= 1.0;
                continue;
            }
            let is_for_waiting = number < grant.for_waiting;
            self.hold(now, is_for_waiting.then(|| issuer.clone()));
        }
    }

    /// Adds a token that this gateway may use. `issuer` is the gateway that takes it back, if any does.
    fn hold(&mut self, now: Instant, issuer: Option<InstanceId>) {
        let extra = Duration::from_secs_f64(EXTRA_VALID_TOKENS / self.whole_rate());
        self.tokens.push_back(HeldToken {
            received_at: now,
            expires_at: now + (TOKEN_LIFETIME + extra).min(MAX_TOKEN_LIFETIME),
            issuer,
        });
    }

    /// Takes the tokens that were issued for waiting requests and found none, with their issuers.
    pub fn take_unused(&mut self, now: Instant) -> BTreeMap<InstanceId, u32> {
        let mut unused = BTreeMap::new();
        self.accrue(now);
        self.tokens.retain(|token| {
            let is_due = now >= token.received_at + RETURN_DELAY;
            let Some(issuer) = token.issuer.as_ref().filter(|_| is_due) else {
                return true;
            };
            *unused.entry(issuer.clone()).or_default() += 1;
            false
        });
        unused
    }

    /// Adds tokens that this gateway had issued and that were not used.
    pub fn take_back(&mut self, now: Instant, count: u32) {
        self.accrue(now);
        if self.issued_part > 0.0 {
            // More than may add up, since these may go to other waiting requests in the next round.
            self.credit += f64::from(count.min(MAX_RECEIVED));
        }
    }

    /// Records the waiting requests of another gateway, which hold until `expires_at`.
    pub fn record_waiting(
        &mut self,
        now: Instant,
        gateway: InstanceId,
        waiting: WaitingRanks,
        expires_at: Instant,
    ) {
        self.waiting.record_peer(now, gateway, waiting, expires_at);
    }

    /// Sets which of the waiting requests gets the first token and when that comes, by a number that
    /// differs from issuer to issuer and from server to server. To be called before the part of the limit
    /// is set.
    pub fn set_first_turn(&mut self, number: u32) {
        self.waiting.set_first_turn(number);
        self.phase.get_or_insert(number);
    }

    /// Uses a saved token. The next one comes a little later if tokens no longer added up, since all
    /// issuers that have saved as many as they may would issue their next tokens together.
    fn spend_credit(&mut self) {
        let unsaved = std::mem::take(&mut self.unsaved);
        let phase = self.phase.unwrap_or_default();
        let delayed_part = f64::from(phase) / f64::from(u32::MAX);
        self.credit -= 1.0 + delayed_part * unsaved.min(MAX_DELAYED_PART);
        self.phase = Some(phase.wrapping_mul(PHASE_FACTOR).wrapping_add(1));
    }

    /// Records the waiting requests of this gateway.
    pub fn record_own_waiting(&mut self, now: Instant, waiting: WaitingRanks) {
        self.waiting.record_own(now, waiting);
    }

    /// Records that another gateway wants to know how many requests wait.
    pub fn record_asking(&mut self, gateway: InstanceId) {
        if self.asking.len() < MAX_ASKING {
            self.asking.insert(gateway);
        }
    }

    /// Takes the gateways that want to know how many requests wait.
    pub fn take_asking(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.asking)
    }

    /// Returns what this gateway knows as an issuer of the server's tokens.
    pub fn own_backlog(&self, now: Instant) -> TokenBacklog {
        TokenBacklog {
            waiting: self.waiting.counts(),
            credit: self.credit_at(now),
            at: now,
        }
    }

    /// Records what an issuer says about the waiting requests. `gateways` is the number of all gateways.
    pub fn record_backlog(&mut self, issuer: InstanceId, backlog: TokenBacklog, gateways: usize) {
        self.backlogs.record(issuer, backlog, gateways);
    }

    /// Records the requests per second of another gateway that might use a token.
    pub fn record_demand(&mut self, gateway: InstanceId, weight: f64, expires_at: Instant) {
        if weight.is_finite() && weight >= 0.0 {
            self.shares.record(gateway, weight, expires_at);
        }
    }

    /// Issues the tokens that are due: first to requests that wait, then by the demand of this gateway and
    /// of the others. Returns those for other gateways.
    pub fn issue(&mut self, now: Instant, own_weight: f64) -> BTreeMap<InstanceId, TokenGrant> {
        self.accrue(now);
        self.shares.expire(now);
        self.waiting.expire(now);
        let mut issued: BTreeMap<InstanceId, TokenGrant> = BTreeMap::new();
        // Without other requests, this gateway takes tokens when it needs them.
        while self.waiting.has_peers(now) && self.credit >= 1.0 {
            let Some(receiver) = self.waiting.next(now) else {
                break;
            };
            self.spend_credit();
            match receiver {
                TokenReceiver::Own => self.hold(now, None),
                TokenReceiver::Peer(gateway) => {
                    let grant = issued.entry(gateway).or_default();
                    grant.count += 1;
                    grant.for_waiting += 1;
                }
            }
        }
        self.credit = self.credit.min(self.most_credit());
        if self.waiting.keeps_tokens(now) {
            return issued;
        }
        while self.shares.has_peers(now) && self.credit >= 1.0 {
            let may_take = own_weight > 0.0 && self.tokens.is_empty();
            let Some(receiver) = self.shares.next(may_take.then_some(own_weight)) else {
                break;
            };
            self.spend_credit();
            match receiver {
                TokenReceiver::Own => self.hold(now, None),
                TokenReceiver::Peer(gateway) => issued.entry(gateway).or_default().count += 1,
            }
        }
        issued
    }
}
