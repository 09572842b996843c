//! Claims: which ticket a caller's key is bound to, agreed through the store.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use units::{
    AccountName,
    CallName, //
};

/// Shards over which claims are spread.
pub const CLAIM_SHARD_COUNT: u32 = 1_024;
/// Milliseconds for which a claim is kept.
pub const CLAIM_LIFETIME_MS: u64 = 24 * 3_600 * 1_000;
/// Claims that one shard holds at most, so that its value stays below the store's limit.
const SHARD_CLAIM_LIMIT: usize = 6_000;

/// Digest of an account, a call and a caller's key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// The key of one caller's call.
    pub fn new(account: &AccountName, call: &CallName, key: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [account.as_str().as_bytes(), call.as_str().as_bytes(), key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self(hex::encode(&digest.finalize()[..16]))
    }

    /// Shard that holds the claim.
    pub fn shard(&self) -> u32 {
        let prefix = self.0.get(..4).unwrap_or_default();
        u32::from_str_radix(prefix, 16).unwrap_or_default() % CLAIM_SHARD_COUNT
    }
}

/// Digest of a body, to tell another call under the same key.
pub fn body_digest(body: &[u8]) -> String {
    hex::encode(&Sha256::digest(body)[..16])
}

/// What a key is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Ticket in its text form, without its signature.
    pub ticket: String,
    /// Digest of the body.
    pub body: String,
    /// When it was claimed, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A wish to bind a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key to bind.
    pub key: ClaimKey,
    /// What to bind it to.
    pub record: ClaimRecord,
    /// Ticket bound before, of which its side said that it never ran and never will.
    pub cancelled_ticket: Option<String>,
}

/// What became of a wish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key is bound to this ticket; it is the wish's own or an earlier one.
    Bound(ClaimRecord),
    /// The key is bound to a call with another body.
    BodyMismatch,
    /// The shard holds too many claims.
    ShardFull,
}

/// One shard's claims, as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
}

impl ClaimShard {
    /// Applies a batch of wishes, to be written in one compare-and-swap.
    pub fn apply(&mut self, now_ms: u64, requests: &[ClaimRequest]) -> Vec<ClaimVerdict> {
        let is_current = |record: &ClaimRecord| record.at_ms + CLAIM_LIFETIME_MS > now_ms;
        self.claims.retain(|_, record| is_current(record));
        requests
            .iter()
            .map(|request| self.apply_one(request))
            .collect()
    }

    /// Whether every wish is answered without a write.
    pub fn is_unchanged_by(&self, requests: &[ClaimRequest]) -> bool {
        let is_unchanged = |request: &ClaimRequest| match self.claims.get(&request.key) {
            Some(bound) => request.cancelled_ticket.as_ref() != Some(&bound.ticket),
            None => false,
        };
        requests.iter().all(is_unchanged)
    }

    fn apply_one(&mut self, request: &ClaimRequest) -> ClaimVerdict {
        if let Some(bound) = self.claims.get(&request.key) {
            if bound.body != request.record.body {
                return ClaimVerdict::BodyMismatch;
            }
            if request.cancelled_ticket.as_ref() != Some(&bound.ticket) {
                return ClaimVerdict::Bound(bound.clone());
            }
            self.claims
                .insert(request.key.clone(), request.record.clone());
            return ClaimVerdict::Bound(request.record.clone());
        }
        if self.claims.len() >= SHARD_CLAIM_LIMIT {
            return ClaimVerdict::ShardFull;
        }
        self.claims
            .insert(request.key.clone(), request.record.clone());
        ClaimVerdict::Bound(request.record.clone())
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
