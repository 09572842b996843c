//! What the issuers of a server's tokens say about the requests that wait for them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::InstanceId;

use super::waiting::{
    WaitingRanks,
    waiting_counts, //
};
use super::{
    ISSUER_COUNT,
    ServerLimit, //
};
use crate::token_queue::tokens_until;

/// Time for which the number of waiting requests is taken for current.
const BACKLOG_LIFETIME: Duration = Duration::from_millis(500);
/// The same for each gateway, so that issuers are not asked more often by many.
const BACKLOG_LIFETIME_PER_GATEWAY: Duration = Duration::from_micros(2_500);

/// Time that is added so that a token counts whose time has just come.
const ROUNDING_SECONDS: f64 = 1e-6;

/// Requests that wait for the tokens of one issuer, and the tokens that it has saved.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBacklog {
    /// Number of waiting requests of all gateways by rank.
    pub waiting: BTreeMap<u8, u32>,
    /// Tokens that the issuer has saved, the part of the next one included.
    pub credit: f64,
    /// When the issuer said so.
    pub at: Instant,
}

/// Latest backlogs of the issuers of one server.
#[derive(Debug, Clone, Default)]
pub(super) struct BacklogTable(BTreeMap<InstanceId, TokenBacklog>);

/// Number of gateways, on which it depends for how long a backlog is taken for current.
fn backlog_lifetime(gateways: usize) -> Duration {
    let for_all = BACKLOG_LIFETIME_PER_GATEWAY * u32::try_from(gateways).unwrap_or(u32::MAX);
    for_all.max(BACKLOG_LIFETIME)
}

impl BacklogTable {
    pub(super) fn record(&mut self, issuer: InstanceId, backlog: TokenBacklog, gateways: usize) {
        let expiry = backlog.at.checked_sub(backlog_lifetime(gateways));
        self.0.retain(|_, known| Some(known.at) > expiry);
        self.0.insert(issuer, backlog);
    }

    /// Returns the backlogs that are current.
    fn current(&self, now: Instant, gateways: usize) -> impl Iterator<Item = &TokenBacklog> {
        let lifetime = backlog_lifetime(gateways);
        let backlogs = self.0.values();
        backlogs.filter(move |backlog| now < backlog.at + lifetime)
    }
}

/// Tokens of one issuer and server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct TokenSource {
    /// Saved tokens, the part of the next one included.
    credit: f64,
    /// Tokens per second.
    rate: f64,
}

impl TokenSource {
    fn new(now: Instant, backlog: &TokenBacklog, rate: f64) -> Self {
        let age = now.saturating_duration_since(backlog.at).as_secs_f64();
        let waiting: u32 = backlog.waiting.values().sum();
        // Without requests that wait, tokens do not add up.
        let most = f64::from(waiting.max(1)).max(backlog.credit);
        let credit = (backlog.credit + rate * age).min(most);
        Self { credit, rate }
    }

    /// Returns the number of tokens within a time.
    fn tokens_within(self, seconds: f64) -> f64 {
        (self.credit + self.rate * seconds).floor().max(0.0)
    }

    /// Returns the seconds until the token after this number comes.
    fn next_after(self, count: f64) -> f64 {
        (count + 1.0 - self.credit) / self.rate
    }
}

/// What is known of the requests that wait for a token of any server of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupBacklog {
    /// Number of waiting requests of all gateways by rank.
    waiting: BTreeMap<u8, u32>,
    /// Tokens of the issuers of all servers.
    sources: Vec<TokenSource>,
}

impl GroupBacklog {
    /// Returns the backlog of servers with these limits, or `None` if no issuer has named one lately.
    /// `own_waiting` are the waiting requests of this gateway, and `gateways` is the number of all.
    pub fn new<'a>(
        now: Instant,
        limits: impl IntoIterator<Item = &'a ServerLimit>,
        own_waiting: &WaitingRanks,
        gateways: usize,
    ) -> Option<Self> {
        let mut backlog = Self {
            waiting: waiting_counts(own_waiting),
            sources: Vec::new(),
        };
        let issuers = gateways.clamp(1, ISSUER_COUNT);
        let mut is_known = false;
        for limit in limits {
            let rate = limit.whole_rate() / issuers as f64;
            let mut unknown = issuers;
            for named in limit.backlogs.current(now, gateways) {
                is_known = true;
                unknown = unknown.saturating_sub(1);
                backlog.sources.push(TokenSource::new(now, named, rate));
                for (rank, count) in &named.waiting {
                    let known = backlog.waiting.entry(*rank).or_default();
                    *known = (*known).max(*count);
                }
            }
            // The others issue tokens too.
            let other = TokenSource { credit: 0.0, rate };
            backlog.sources.extend(std::iter::repeat_n(other, unknown));
        }
        is_known.then_some(backlog)
    }

    /// Returns the time after which a request of a rank is expected to get a token. `is_waiting` tells
    /// whether the request is among those that wait.
    pub fn expected_wait(&self, rank: u8, is_waiting: bool) -> Duration {
        let mut others = self.waiting.clone();
        if let Some(count) = others.get_mut(&rank).filter(|_| is_waiting) {
            *count = count.saturating_sub(1);
        }
        others.retain(|_, count| *count > 0);
        let needed = f64::from(tokens_until(&others, rank));
        let seconds = self.seconds_until(needed);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the seconds until this number of tokens has come.
    fn seconds_until(&self, needed: f64) -> f64 {
        let rate: f64 = self.sources.iter().map(|source| source.rate).sum();
        let credit: f64 = self.sources.iter().map(|source| source.credit).sum();
        // Parts of tokens add up to fewer than there are issuers, so that this is too early.
        let mut seconds = ((needed - credit) / rate).max(0.0);
        loop {
            let counts = self.sources.iter();
            let counts = counts.map(|source| (source, source.tokens_within(seconds)));
            if counts.clone().map(|(_, count)| count).sum::<f64>() >= needed {
                return seconds;
            }
            let next = counts.map(|(source, count)| source.next_after(count));
            let next = next.fold(f64::INFINITY, f64::min);
            // The floor of a sum may fall short of a token by rounding.
            seconds = next.max(seconds) + ROUNDING_SECONDS;
        }
    }
}
