//! Claims, which bind a caller's idempotency key to one ticket. Entries agree on claims through the
//! store.

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

/// Number of shards among which the claims are divided.
pub const CLAIM_SHARD_COUNT: u32 = 1_024;
/// Lifetime of a claim, in milliseconds.
pub const CLAIM_LIFETIME_MS: u64 = 24 * 3_600 * 1_000;
/// Maximum number of claims in one shard, which keeps its value below the store's size limit.
const SHARD_CLAIM_LIMIT: usize = 6_000;

/// Digest of an account, a call and a caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Computes the key of one call of an account.
    pub fn new(account: &AccountName, call: &CallName, key: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [account.as_str().as_bytes(), call.as_str().as_bytes(), key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        Self(hex::encode(&digest.finalize()[..16]))
    }

    /// Returns the number of the shard that holds the claim.
    pub fn shard(&self) -> u32 {
        let prefix = self.0.get(..4).unwrap_or_default();
        u32::from_str_radix(prefix, 16).unwrap_or_default() % CLAIM_SHARD_COUNT
    }
}

/// Returns the digest of a request body, which detects a different request under the same key.
pub fn body_digest(body: &[u8]) -> String {
    hex::encode(&Sha256::digest(body)[..16])
}

/// Ticket and request body to which a key is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Ticket in text form, without its signature.
    pub ticket: String,
    /// Digest of the request body.
    pub body: String,
    /// Time of the claim, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Request to bind a key to a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key to bind.
    pub key: ClaimKey,
    /// Record to bind the key to.
    pub record: ClaimRecord,
    /// Ticket bound earlier, if its side process has answered that the call did not run and never
    /// will. A claim with this ticket is replaced.
    pub cancelled_ticket: Option<String>,
}

/// Result of a claim request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The key is bound to this record, which is the requested or an earlier one.
    Bound(ClaimRecord),
    /// The key is bound to a call with a different request body.
    BodyMismatch,
    /// The shard holds the maximum number of claims.
    ShardFull,
}

/// Claims of one shard, in the form that is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
}

impl ClaimShard {
    /// Removes expired claims and applies a batch of requests. The caller writes the shard with one
    /// compare-and-swap.
    pub fn apply(&mut self, now_ms: u64, requests: &[ClaimRequest]) -> Vec<ClaimVerdict> {
        let is_current = |record: &ClaimRecord| record.at_ms + CLAIM_LIFETIME_MS > now_ms;
        self.claims.retain(|_, record| is_current(record));
        requests
            .iter()
            .map(|request| self.apply_one(request))
            .collect()
    }

    /// Returns whether all requests can be answered from the stored claims, without a write.
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

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the shard has no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
