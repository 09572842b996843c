//! A job as the scheduler beside a backend server sees it.

use std::time::Duration;

use tokio::time::Instant;
use units::TokenCount;

use crate::ServiceRank;

/// Key of a job, unique on its side process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// What the scheduler must know of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSpec {
    /// Key.
    pub key: JobKey,
    /// Rank of its class.
    pub rank: ServiceRank,
    /// Tokens to compute before the first new one.
    pub context_tokens: TokenCount,
    /// Tokens to generate at most.
    pub max_output_tokens: TokenCount,
    /// When its first token is due.
    pub first_token_deadline: Instant,
    /// Target of the time between tokens.
    pub gap_target: Duration,
    /// Whether it was running before and must not be refused for its target.
    pub resumed: bool,
    /// Whether its context is imported rather than computed.
    pub imports_kv_cache: bool,
    /// Whether nothing else may run beside it.
    pub exclusive: bool,
}
