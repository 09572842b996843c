//! Shares of the gateways in the tokens that one gateway issues for a limited server.

use std::collections::BTreeMap;

use tokio::time::Instant;
use units::InstanceId;

/// Maximum number of gateways whose demand is known.
pub(super) const MAX_DEMANDS: usize = 1_024;

/// Demand of one gateway, and how far it is behind its share.
#[derive(Debug, Clone, Copy, Default)]
struct TokenShare {
    /// Requests per second that might use a token.
    weight: f64,
    /// Tokens due less tokens received.
    balance: f64,
}

/// Demand of this gateway and of the others.
#[derive(Debug, Clone, Default)]
pub(super) struct TokenShares {
    own: TokenShare,
    peers: BTreeMap<InstanceId, (TokenShare, Instant)>,
}

/// Gateway that receives a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TokenReceiver {
    Own,
    Peer(InstanceId),
}

impl TokenShares {
    /// Records the demand of another gateway, which holds until `expires_at`.
    pub(super) fn record(&mut self, gateway: InstanceId, weight: f64, expires_at: Instant) {
        if self.peers.len() >= MAX_DEMANDS && !self.peers.contains_key(&gateway) {
            return;
        }
        let entry = self.peers.entry(gateway);
        let (share, expiry) = entry.or_insert((TokenShare::default(), expires_at));
        share.weight = weight;
        *expiry = expires_at;
    }

    /// Returns whether another gateway has demand.
    pub(super) fn has_peers(&self, now: Instant) -> bool {
        self.peers.values().any(|(_, expires_at)| now < *expires_at)
    }

    /// Removes demand that has expired.
    pub(super) fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, (_, expires_at)| now < *expires_at);
    }

    /// Returns the gateway that is furthest behind its share, and counts a token for it. Without
    /// `own_weight`, this gateway takes none.
    pub(super) fn next(&mut self, own_weight: Option<f64>) -> Option<TokenReceiver> {
        self.own.weight = own_weight.unwrap_or(0.0);
        let weights = self.peers.values().map(|(share, _)| share.weight);
        let total: f64 = weights.sum::<f64>() + self.own.weight;
        if total <= 0.0 {
            return None;
        }
        self.own.balance += self.own.weight / total;
        let mut best = own_weight.map(|_| (TokenReceiver::Own, self.own.balance));
        for (gateway, (share, _)) in &mut self.peers {
            share.balance += share.weight / total;
            let is_better = best.as_ref().is_none_or(|(_, most)| share.balance > *most);
            if share.weight > 0.0 && is_better {
                best = Some((TokenReceiver::Peer(gateway.clone()), share.balance));
            }
        }
        let (receiver, _) = best?;
        match &receiver {
            TokenReceiver::Own => self.own.balance -= 1.0,
            TokenReceiver::Peer(gateway) => {
                if let Some((share, _)) = self.peers.get_mut(gateway) {
                    share.balance -= 1.0;
                }
            }
        }
        Some(receiver)
    }
}
