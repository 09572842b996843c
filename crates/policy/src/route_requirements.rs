//! What the router is asked and what it answers.

use std::collections::BTreeSet;
use std::time::Duration;

use units::{
    FingerprintId,
    InstanceId,
    ModelName,
    PieceCount,
    WorkAmount, //
};

use crate::ServiceRank;

/// What a request needs from a backend server.
#[derive(Debug, Clone)]
pub struct RouteRequirements {
    /// Model to run.
    pub model: ModelName,
    /// Rank of its class.
    pub rank: ServiceRank,
    /// Work until the first token, without a cached prefix.
    pub prefill_work: WorkAmount,
    /// Work after the first token.
    pub decode_work: WorkAmount,
    /// KV pieces for the prompt and the output.
    pub required_pieces: PieceCount,
    /// Hash of the prompt's first tokens.
    pub prefix_hash: u64,
    /// Time left until the first token is due.
    pub time_budget: Duration,
    /// Whether it resumes a stream with its KV cache moved.
    pub imports_kv_cache: bool,
    /// Backend server where the same request runs and has shown no token yet; one crash there is
    /// better than one in each of two places.
    pub pinned: Option<InstanceId>,
    /// Fingerprint of a suspect; every entry tries it on the same backend server.
    pub trial_fingerprint: Option<FingerprintId>,
    /// Backend servers that were tried already.
    pub excluded: BTreeSet<InstanceId>,
}

/// A choice and the figures behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// Backend server chosen.
    pub instance: InstanceId,
    /// Predicted time until the first token.
    pub expected_wait: Duration,
    /// Whether its prefix is thought to be cached there.
    pub expects_cache_hit: bool,
    /// Backend servers looked at, with their predicted times.
    pub considered: Vec<(InstanceId, Duration)>,
}

/// Why no backend server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteRefusal {
    /// None that has the model takes work.
    NoneAvailable,
    /// All would miss the target; the best needs this long.
    WouldMiss(Duration),
}
