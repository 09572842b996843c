//! Requests of all gateways that wait for a token of one backend server.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::InstanceId;

use super::shares::{
    MAX_DEMANDS,
    TokenReceiver, //
};
use crate::token_queue::FLOOR_INTERVAL;

/// Time after the latest wait for which unissued tokens are kept for requests that wait.
const KEEP_TIME: Duration = Duration::from_secs(3);

/// Number of the longest waits of a rank among which tokens are shared in turn. A request waits at several
/// issuers, which would all issue a token to the same one.
const TURN_COUNT: usize = 4;

/// Waiting requests of one rank at one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequests {
    /// Number of requests.
    pub count: u32,
    /// Since when the first of them waits.
    pub since: Instant,
}

/// Waiting requests of one gateway by rank.
pub type WaitingRanks = BTreeMap<u8, WaitingRequests>;

/// Adds waiting requests of a rank to others.
pub fn add_waiting(ranks: &mut WaitingRanks, rank: u8, added: WaitingRequests) {
    let known = ranks
        .entry(rank)
        .or_insert(WaitingRequests { count: 0, ..added });
    known.count += added.count;
    known.since = known.since.min(added.since);
}

/// Returns the number of waiting requests by rank.
pub fn waiting_counts(ranks: &WaitingRanks) -> BTreeMap<u8, u32> {
    let counts = ranks.iter();
    counts
        .map(|(rank, waiting)| (*rank, waiting.count))
        .collect()
}

/// Waiting requests of this gateway and of the others, as known to an issuer.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitingTable {
    own: WaitingRanks,
    peers: BTreeMap<InstanceId, (WaitingRanks, Instant)>,
    /// Number of tokens issued to waiting requests, from a start that differs from issuer to issuer.
    served: u32,
    last_wait_at: Option<Instant>,
}

impl WaitingTable {
    /// Sets whose turn is first.
    pub(super) fn set_first_turn(&mut self, number: u32) {
        if self.last_wait_at.is_none() {
            self.served = number;
        }
    }

    /// Replaces the waiting requests of this gateway.
    pub(super) fn record_own(&mut self, now: Instant, waiting: WaitingRanks) {
        if !waiting.is_empty() {
            self.last_wait_at = Some(now);
        }
        self.own = waiting;
    }

    /// Replaces the waiting requests of another gateway, which hold until `expires_at`.
    pub(super) fn record_peer(
        &mut self,
        now: Instant,
        gateway: InstanceId,
        waiting: WaitingRanks,
        expires_at: Instant,
    ) {
        if waiting.is_empty() {
            self.peers.remove(&gateway);
            return;
        }
        self.last_wait_at = Some(now);
        if self.peers.len() < MAX_DEMANDS || self.peers.contains_key(&gateway) {
            self.peers.insert(gateway, (waiting, expires_at));
        }
    }

    /// Removes requests whose gateways have not repeated them in time.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, (_, expires_at)| now < *expires_at);
    }

    /// Returns whether requests of other gateways wait.
    pub(super) fn has_peers(&self, now: Instant) -> bool {
        self.peers.values().any(|(_, expires_at)| now < *expires_at)
    }

    /// Returns whether a request has waited so lately that tokens are kept for the next one.
    pub(super) fn keeps_tokens(&self, now: Instant) -> bool {
        self.last_wait_at.is_some_and(|at| now < at + KEEP_TIME)
    }

    /// Returns the number of waiting requests by rank.
    pub(super) fn counts(&self) -> BTreeMap<u8, u32> {
        let mut counts = BTreeMap::new();
        for (rank, waiting) in self.entries() {
            *counts.entry(rank).or_default() += waiting.count;
        }
        counts
    }

    fn entries(&self) -> impl Iterator<Item = (u8, WaitingRequests)> {
        let peers = self.peers.values().flat_map(|(ranks, _)| ranks);
        let entries = self.own.iter().chain(peers);
        entries.map(|(rank, waiting)| (*rank, *waiting))
    }

    /// Returns the gateway whose request is next, and counts a token for it: the most urgent rank first,
    /// and each few tokens the longest wait of the others.
    pub(super) fn next(&mut self, now: Instant) -> Option<TokenReceiver> {
        let top_rank = self.entries().map(|(rank, _)| rank).min()?;
        let is_floor_turn = self.served % FLOOR_INTERVAL == FLOOR_INTERVAL - 1;
        let others = self.entries().filter(|(rank, _)| *rank != top_rank);
        let oldest = others.min_by_key(|(_, waiting)| waiting.since);
        let oldest = oldest.filter(|_| is_floor_turn).map(|(rank, _)| rank);
        let rank = oldest.unwrap_or(top_rank);
        self.served = self.served.wrapping_add(1);
        let receiver = self.next_of_rank(rank)?;
        let ranks = match &receiver {
            TokenReceiver::Own => &mut self.own,
            TokenReceiver::Peer(gateway) => &mut self.peers.get_mut(gateway)?.0,
        };
        if let Some(waiting) = ranks.get_mut(&rank) {
            waiting.count -= 1;
            // The times of its other requests are not known.
            waiting.since = now;
            if waiting.count == 0 {
                ranks.remove(&rank);
            }
        }
        self.peers.retain(|_, (ranks, _)| !ranks.is_empty());
        Some(receiver)
    }

    /// Returns the gateway whose turn it is among those with the longest waits in a rank.
    fn next_of_rank(&self, rank: u8) -> Option<TokenReceiver> {
        let own = self.own.get(&rank);
        let own = own.map(|waiting| (waiting.since, None));
        let peers = self.peers.iter().filter_map(|(gateway, (ranks, _))| {
            let waiting = ranks.get(&rank)?;
            Some((waiting.since, Some(gateway)))
        });
        let mut waits: Vec<_> = own.into_iter().chain(peers).collect();
        let turns = waits.len().min(TURN_COUNT);
        let turn = (self.served as usize).checked_rem(turns)?;
        let (_, (_, gateway), _) = waits.select_nth_unstable(turn);
        Some(match gateway {
            None => TokenReceiver::Own,
            Some(gateway) => TokenReceiver::Peer((*gateway).clone()),
        })
    }
}
