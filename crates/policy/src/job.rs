//! Description of a job for the scheduler of an engine.

use std::time::Duration;

use tokio::time::Instant;
use units::TokenCount;

use crate::ServiceRank;

/// Key of a job, unique within its side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// Properties of a job that the scheduler needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSpec {
    /// Key of the job.
    pub key: JobKey,
    /// Rank of the job's class.
    pub rank: ServiceRank,
    /// Number of prompt tokens and earlier output tokens to prefill or import.
    pub context_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: TokenCount,
    /// Deadline of the first token.
    pub first_token_deadline: Instant,
    /// Target for the time between two tokens.
    pub gap_target: Duration,
    /// Whether the job ran before; a resumed job is never refused for a missed deadline.
    pub resumed: bool,
    /// Whether the KV cache of the context is imported instead of computed by a prefill.
    pub imports_kv_cache: bool,
    /// Whether no other job may run on the engine at the same time.
    pub exclusive: bool,
}
