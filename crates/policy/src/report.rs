//! Load report that a side process sends about its engine.

use units::{
    EngineSeconds,
    ModelName,
    PieceCount, //
};

use crate::{
    EngineRole,
    RankMap, //
};

/// Load of one engine, as reported by its side process.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Current role of the engine.
    pub role: EngineRole,
    /// Models loaded on the engine.
    pub models: Vec<ModelName>,
    /// Expected time until a new request would start its prefill, for each rank.
    pub expected_wait: RankMap<EngineSeconds>,
    /// Decode work that the running streams have left.
    pub remaining_decode: EngineSeconds,
    /// Prefill work of all jobs submitted since the side process started, refused ones included.
    pub requested_prefill: EngineSeconds,
    /// Decode work of all jobs submitted since the side process started, refused ones included.
    pub requested_decode: EngineSeconds,
    /// Number of running streams.
    pub running_streams: u32,
    /// KV cache memory in use or reserved for running jobs.
    pub used_pieces: PieceCount,
    /// Total KV cache memory.
    pub total_pieces: PieceCount,
    /// Whether the engine accepts new jobs.
    pub accepting: bool,
}

impl LoadReport {
    /// Creates the report of an engine without jobs.
    pub fn idle(role: EngineRole, total_pieces: PieceCount) -> Self {
        Self {
            role,
            models: Vec::new(),
            expected_wait: RankMap::default(),
            remaining_decode: EngineSeconds(0.0),
            requested_prefill: EngineSeconds(0.0),
            requested_decode: EngineSeconds(0.0),
            running_streams: 0,
            used_pieces: PieceCount(0),
            total_pieces,
            accepting: true,
        }
    }

    /// Returns the share of KV cache memory in use, from 0 to 1.
    pub fn kv_memory_use(&self) -> f64 {
        f64::from(self.used_pieces.0) / f64::from(self.total_pieces.0.max(1))
    }
}
