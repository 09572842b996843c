//! Progress of a request through the simulation.

use std::collections::BTreeSet;

use tokio::time::Instant;
use units::{
    InstanceId,
    TokenCount, //
};

use crate::workload::RequestArrival;

/// State or result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// The request has not ended.
    Running,
    /// All tokens were generated.
    Completed,
    /// The router or the engines refused the request.
    Refused,
    /// The request is quarantined, or has used up its attempts or its time.
    Failed,
}

/// Request with its state on the entry and on an engine.
#[derive(Debug, Clone)]
pub(crate) struct SimJob {
    /// Request as its caller sent it.
    pub(crate) arrival: RequestArrival,
    /// Time at which the request reached its entry.
    pub(crate) arrived_at: Instant,
    /// Number of tokens generated, on all engines together.
    pub(crate) generated_tokens: u32,
    /// Time of the first token.
    pub(crate) first_token_at: Option<Instant>,
    /// Time of the latest token.
    pub(crate) last_token_at: Option<Instant>,
    /// State or result.
    pub(crate) outcome: JobOutcome,
    /// Time at which the request ended.
    pub(crate) ended_at: Option<Instant>,
    /// Index of the engine that the job is on or on its way to.
    pub(crate) engine: Option<usize>,
    /// Engines that refused or interrupted the job, which the next selection passes over.
    pub(crate) excluded: BTreeSet<InstanceId>,
    /// Number of attempts to select an engine.
    pub(crate) attempts: u32,
    /// Whether the next engine imports the KV cache instead of computing the context.
    pub(crate) imports_kv_cache: bool,
    /// Whether the job runs alone on an engine, as a suspect of a crash.
    pub(crate) exclusive: bool,
    /// Tokens that are computed again after a crash or a role change.
    pub(crate) recomputed_tokens: u64,
}

impl SimJob {
    /// Creates a job that has not been sent to an engine.
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

    /// Returns the length of the context before the next token: the prompt and the tokens
    /// generated.
    pub(crate) fn context_tokens(&self) -> TokenCount {
        TokenCount(self.arrival.prompt_tokens.0 + self.generated_tokens)
    }

    /// Returns the number of tokens still to generate.
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
