//! Input and outcome of backend selection by the engine router.

use std::collections::BTreeSet;
use std::time::Duration;

use units::{
    EngineSeconds,
    FingerprintId,
    InstanceId,
    ModelName,
    PieceCount, //
};

use crate::ServiceRank;

/// Requirements of a request on the engine that runs it.
#[derive(Debug, Clone)]
pub struct RouteRequirements {
    /// Model that the engine must have loaded.
    pub model: ModelName,
    /// Rank of the request's class.
    pub rank: ServiceRank,
    /// Work until the first token if no prompt prefix is cached.
    pub prefill_work: EngineSeconds,
    /// Work after the first token.
    pub decode_work: EngineSeconds,
    /// KV cache memory for the prompt and the output.
    pub required_pieces: PieceCount,
    /// Hash of the prompt prefix, used to find an engine that has the prefix cached.
    pub prefix_hash: u64,
    /// Time left until the deadline of the first token.
    pub time_budget: Duration,
    /// Whether the request resumes a stream whose KV cache is imported from another engine.
    pub imports_kv_cache: bool,
    /// Engine that already runs an identical request without a first token so far. Sharing the
    /// engine limits the damage to one crash if the request crashes engines.
    pub pinned: Option<InstanceId>,
    /// Fingerprint of a request suspected of crashing engines; every entry sends equal fingerprints
    /// to the same engine.
    pub trial_fingerprint: Option<FingerprintId>,
    /// Engines that earlier attempts used.
    pub excluded: BTreeSet<InstanceId>,
}

/// Selected engine and the estimates behind the selection.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// Selected engine.
    pub instance: InstanceId,
    /// Expected time until the first token.
    pub expected_wait: Duration,
    /// Whether the prompt prefix is expected to be cached on the engine.
    pub expects_cache_hit: bool,
    /// Engines compared, with the expected time until the first token on each.
    pub considered: Vec<(InstanceId, Duration)>,
}

/// Reason why no engine was selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No usable engine has the model loaded.
    NoneAvailable,
    /// Every engine would miss the deadline; the fastest is expected to take this long.
    WouldMissTarget(Duration),
}
