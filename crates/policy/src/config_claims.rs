//! Configurations that peers claim to hold and this process lacks: when to ask for one, and whom.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::InstanceId;

use crate::ConfigPosition;

/// Time that the own watch on the store has to bring a configuration before a peer is asked for it. The
/// watch of a process that reaches the store is seldom later than its delay between two reads.
pub const WATCH_TIME: Duration = Duration::from_millis(600);
/// Delay before a peer is asked again after its first failure. It doubles with each further one.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Number of failures in a row after which a peer's claim is dropped. Its next report makes another.
const MAX_FAILURES: u32 = 4;
/// Maximum number of claims. A few peers are enough to get a configuration from.
const MAX_CLAIMS: usize = 16;

/// What one peer claims to hold.
#[derive(Debug, Clone, Copy)]
struct PeerClaim {
    /// First position that this process lacks, and when it was heard of.
    first: (ConfigPosition, Instant),
    latest: (ConfigPosition, Instant),
    failures: u32,
    retry_at: Option<Instant>,
}

impl PeerClaim {
    fn new(now: Instant, position: ConfigPosition) -> Self {
        Self {
            first: (position, now),
            latest: (position, now),
            failures: 0,
            retry_at: None,
        }
    }

    fn is_eligible(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }
}

/// Claims of the peers whose configurations would replace the own one.
#[derive(Debug, Clone, Default)]
pub struct ConfigClaims {
    claims: BTreeMap<InstanceId, PeerClaim>,
}

impl ConfigClaims {
    /// Records the position that a peer reports. Returns whether the claim is new.
    pub fn record(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        position: ConfigPosition,
        own: Option<&ConfigPosition>,
    ) -> bool {
        if !position.replaces(own) {
            self.claims.remove(peer);
            return false;
        }
        if let Some(claim) = self.claims.get_mut(peer) {
            match position.cmp(&claim.latest.0) {
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Greater => claim.latest = (position, now),
                // The peer has restarted.
                std::cmp::Ordering::Less => *claim = PeerClaim::new(now, position),
            }
            return false;
        }
        let has_room = self.claims.len() < MAX_CLAIMS;
        if has_room {
            let claim = PeerClaim::new(now, position);
            self.claims.insert(peer.clone(), claim);
        }
        has_room
    }

    /// Drops the claims that the configuration at `own` settles.
    fn settle(&mut self, own: Option<&ConfigPosition>) {
        self.claims.retain(|_, claim| claim.latest.0.replaces(own));
        for claim in self.claims.values_mut() {
            if !claim.first.0.replaces(own) {
                claim.first = claim.latest;
            }
        }
    }

    /// Returns when the next peer is to be asked, unless the own watch is faster.
    pub fn next_due(&mut self, own: Option<&ConfigPosition>) -> Option<Instant> {
        self.settle(own);
        let claims = self.claims.values();
        let due = claims.clone().map(|claim| claim.first.1).min()? + WATCH_TIME;
        let retries = claims.map(|claim| claim.retry_at.unwrap_or(due));
        retries.min().map(|retry_at| retry_at.max(due))
    }

    /// Returns the peer to ask now, if any: one with the latest configuration and the fewest failures.
    /// `random` spreads the processes that ask at the same time.
    pub fn next_pull(
        &mut self,
        now: Instant,
        own: Option<&ConfigPosition>,
        random: usize,
    ) -> Option<InstanceId> {
        if self.next_due(own)? > now {
            return None;
        }
        let eligible = self.claims.iter();
        let eligible = eligible.filter(|(_, claim)| claim.is_eligible(now));
        let rate = |claim: &PeerClaim| (claim.latest.0, u32::MAX - claim.failures);
        let best = eligible.clone().map(|(_, claim)| rate(claim)).max()?;
        let mut best_peers = eligible.filter(|(_, claim)| rate(claim) == best);
        let count = best_peers.clone().count();
        best_peers
            .nth(random % count.max(1))
            .map(|(peer, _)| peer.clone())
    }

    /// Records that a peer did not hand over a configuration that replaces the own one.
    pub fn record_failure(&mut self, now: Instant, peer: &InstanceId) {
        let Some(claim) = self.claims.get_mut(peer) else {
            return;
        };
        claim.retry_at = Some(now + FIRST_BACKOFF * 2_u32.saturating_pow(claim.failures));
        claim.failures += 1;
        if claim.failures >= MAX_FAILURES {
            self.claims.remove(peer);
        }
    }

    /// Returns the position that a peer claims.
    pub fn claimed_by(&self, peer: &InstanceId) -> Option<ConfigPosition> {
        self.claims.get(peer).map(|claim| claim.latest.0)
    }

    /// Returns the time since a configuration that this process lacks was first heard of.
    pub fn waiting_time(&self, now: Instant) -> Option<Duration> {
        let since = self.claims.values().map(|claim| claim.first.1).min();
        since.map(|since| now.saturating_duration_since(since))
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no peer claims to hold a configuration that this process lacks.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
