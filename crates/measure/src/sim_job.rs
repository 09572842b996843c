//! A request during a run.

use std::collections::BTreeSet;

use tokio::time::Instant;
use units::{
    InstanceId,
    TokenCount, //
};

use crate::workload::RequestArrival;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    Running,
    Completed,
    Refused,
    Failed,
}

/// A request and what happened to it.
#[derive(Debug, Clone)]
pub(crate) struct SimJob {
    pub(crate) arrival: RequestArrival,
    pub(crate) arrived_at: Instant,
    pub(crate) generated_tokens: u32,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) last_token_at: Option<Instant>,
    pub(crate) outcome: JobOutcome,
    pub(crate) ended_at: Option<Instant>,
    pub(crate) engine: Option<usize>,
    pub(crate) excluded: BTreeSet<InstanceId>,
    pub(crate) attempts: u32,
    pub(crate) imports_kv_cache: bool,
    pub(crate) exclusive: bool,
    /// Tokens computed again after a pause, a crash or a role change.
    pub(crate) recomputed_tokens: u64,
}

impl SimJob {
    pub(crate) fn new(arrival: RequestArrival, arrived_at: Instant) -> Self {
        Self {
            arrival,
            arrived_at,
            generated_tokens: 0,
            first_token_at: None,
            last_token_at: None,
            outcome: JobOutcome::Running,
            ended_at: None,
            engine: None,
            excluded: BTreeSet::new(),
            attempts: 0,
            imports_kv_cache: false,
            exclusive: false,
            recomputed_tokens: 0,
        }
    }

    /// Tokens to compute before the next one.
    pub(crate) fn context_tokens(&self) -> TokenCount {
        TokenCount(self.arrival.prompt_tokens.0 + self.generated_tokens)
    }

    /// Tokens still to generate.
    pub(crate) fn remaining_output(&self) -> TokenCount {
        TokenCount(
            self.arrival
                .output_tokens
                .0
                .saturating_sub(self.generated_tokens)
                .max(1),
        )
    }
}
