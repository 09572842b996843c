//! A request during a run.

use std::collections::BTreeSet;

use tokio::time::Instant;
use units::{
    InstanceId,
    TokenCount, //
};

use crate::workload::Arrival;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEnd {
    Running,
    Whole,
    Refused,
    Failed,
}

/// A request and what happened to it.
#[derive(Debug, Clone)]
pub(crate) struct SimJob {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: Instant,
    pub(crate) produced: u32,
    pub(crate) first: Option<Instant>,
    pub(crate) last: Option<Instant>,
    pub(crate) end: JobEnd,
    pub(crate) ended: Option<Instant>,
    pub(crate) engine: Option<usize>,
    pub(crate) tried: BTreeSet<InstanceId>,
    pub(crate) attempts: u32,
    pub(crate) imported: bool,
    pub(crate) alone: bool,
    /// Tokens computed again after a pause, a crash or a role change.
    pub(crate) recomputed: u64,
}

impl SimJob {
    pub(crate) fn new(arrival: Arrival, arrived: Instant) -> Self {
        Self {
            arrival,
            arrived,
            produced: 0,
            first: None,
            last: None,
            end: JobEnd::Running,
            ended: None,
            engine: None,
            tried: BTreeSet::new(),
            attempts: 0,
            imported: false,
            alone: false,
            recomputed: 0,
        }
    }

    /// Tokens to compute before the next one.
    pub(crate) fn context(&self) -> TokenCount {
        TokenCount(self.arrival.prompt.0 + self.produced)
    }

    /// Tokens still to generate.
    pub(crate) fn output_left(&self) -> TokenCount {
        TokenCount(self.arrival.output.0.saturating_sub(self.produced).max(1))
    }
}
