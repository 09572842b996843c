//! Requests that wait for a token of one of the backend servers that name limits.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::server_limit::{
    WaitingRanks,
    WaitingRequests,
    add_waiting,
    waiting_counts, //
};

/// Every this many tokens, one goes to the request of another rank than the most urgent that has waited
/// longest.
pub(crate) const FLOOR_INTERVAL: u32 = 5;
/// Latest time at which a refused caller is asked to come back.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterId(u64);

/// Requests that wait for a token, by rank and then by arrival.
#[derive(Debug, Clone, Default)]
pub struct TokenQueue {
    /// When each request joined.
    waiting: BTreeMap<(u8, WaiterId), Instant>,
    last_id: u64,
    served: u32,
    /// When the caller that was refused last may come back.
    last_return: Option<Instant>,
}

/// Returns the number of tokens until a request of a rank that joins now gets one, by the number of
/// waiting requests of each rank.
pub(crate) fn tokens_until(waiting: &BTreeMap<u8, u32>, rank: u8) -> u32 {
    let ahead: u32 = waiting.range(..=rank).map(|(_, count)| count).sum();
    let by_rank = ahead.saturating_add(1);
    match waiting.keys().next() {
        Some(top_rank) if *top_rank < rank => {
            let before_floor: u32 = waiting.values().skip(1).sum();
            by_rank.min((before_floor + 1).saturating_mul(FLOOR_INTERVAL))
        }
        _ => by_rank,
    }
}

impl TokenQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request whose expected `wait` for a token is no longer than `max_wait`. Otherwise returns the
    /// delay after which its caller may come back, another one for each caller.
    ///
    /// `rate` is the number of tokens that come each second. `jitter`, from 0 to 1, is drawn at random.
    pub fn join(
        &mut self,
        now: Instant,
        rank: u8,
        wait: Duration,
        max_wait: Duration,
        rate: f64,
        jitter: f64,
    ) -> Result<WaiterId, Duration> {
        if wait > max_wait {
            return Err(self.return_delay(now, wait, rate, jitter));
        }
        self.last_id += 1;
        let id = WaiterId(self.last_id);
        self.waiting.insert((rank, id), now);
        Ok(id)
    }

    /// Returns the waiting requests by rank.
    pub fn ranks(&self) -> WaitingRanks {
        let mut ranks = WaitingRanks::new();
        for ((rank, _), since) in &self.waiting {
            let waiting = WaitingRequests {
                count: 1,
                since: *since,
            };
            add_waiting(&mut ranks, *rank, waiting);
        }
        ranks
    }

    /// Returns the time after which a request that joins now is expected to get a token.
    pub fn expected_wait(&self, rank: u8, rate: f64) -> Duration {
        let tokens = f64::from(tokens_until(&waiting_counts(&self.ranks()), rank));
        Duration::try_from_secs_f64(tokens / rate).unwrap_or(Duration::MAX)
    }

    /// Returns the delay after which a refused caller may come back, once the callers refused before it
    /// have been served. `jitter` keeps the callers of several gateways apart.
    pub fn return_delay(
        &mut self,
        now: Instant,
        wait: Duration,
        rate: f64,
        jitter: f64,
    ) -> Duration {
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETURN_DELAY);
        let interval = interval.min(MAX_RETURN_DELAY);
        let earliest = now + wait.min(MAX_RETURN_DELAY);
        let next = self.last_return.map_or(earliest, |at| at + interval);
        let mut due = next.max(earliest);
        if due > now + MAX_RETURN_DELAY {
            // The times start over, since many callers will not come back.
            due = earliest;
        }
        self.last_return = Some(due);
        due - now + interval.mul_f64(jitter)
    }

    /// Returns the request whose turn it is.
    pub fn head(&self) -> Option<WaiterId> {
        let (top_rank, first) = *self.waiting.keys().next()?;
        let is_floor_turn = self.served % FLOOR_INTERVAL == FLOOR_INTERVAL - 1;
        let others = self.waiting.keys().filter(|(rank, _)| *rank != top_rank);
        let oldest = others.map(|(_, id)| *id).min();
        Some(oldest.filter(|_| is_floor_turn).unwrap_or(first))
    }

    /// Removes a request that got a token, or that gave up.
    pub fn leave(&mut self, id: WaiterId, is_served: bool) {
        let known = self.waiting.keys().find(|(_, other)| *other == id).copied();
        if let Some(key) = known {
            self.waiting.remove(&key);
            self.served += u32::from(is_served);
        }
    }
}
