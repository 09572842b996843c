//! Memory size and step times that an engine reports about itself.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    PieceCount,
    TokenCount, //
};

/// KV cache memory and nominal step times of an engine.
///
/// KV cache memory is allocated in pieces, blocks that each hold a fixed number of tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineProfile {
    /// KV cache memory, in pieces.
    pub pieces: PieceCount,
    /// Number of tokens that one piece holds.
    pub piece_tokens: u32,
    /// Fixed seconds of each step.
    pub step_seconds: f64,
    /// Additional seconds for each prompt token in a step.
    pub prefill_seconds: f64,
    /// Additional seconds for each running stream in a step.
    pub decode_seconds: f64,
    /// Factor on the additional seconds of a step that combines prefill and decode.
    pub mixing_factor: f64,
    /// Seconds for which the engine is unavailable when its role changes.
    pub role_change_seconds: f64,
    /// Seconds to import the KV cache of one token.
    pub import_seconds: f64,
}

impl EngineProfile {
    /// Returns the pieces needed to hold a number of tokens.
    pub fn pieces_for(&self, tokens: TokenCount) -> PieceCount {
        PieceCount(tokens.0.div_ceil(self.piece_tokens.max(1)))
    }

    /// Returns the duration of a step that prefills a number of tokens and decodes for a number of
    /// streams.
    pub fn step_time(&self, prefill: TokenCount, streams: usize) -> Duration {
        let prefill_part = f64::from(prefill.0) * self.prefill_seconds;
        let decode_part = streams as f64 * self.decode_seconds;
        let mixes = prefill.0 > 0 && streams > 0;
        let factor = if mixes { self.mixing_factor } else { 1.0 };
        Duration::from_secs_f64(self.step_seconds + (prefill_part + decode_part) * factor)
    }

    /// Returns the maximum number of streams for which a step that also prefills a number of tokens
    /// stays within a gap; at least 1.
    pub fn stream_limit(&self, gap: Duration, prefill: TokenCount) -> usize {
        let factor = if prefill.0 > 0 {
            self.mixing_factor
        } else {
            1.0
        };
        let prefill_part = f64::from(prefill.0) * self.prefill_seconds * factor;
        let room = gap.as_secs_f64() - self.step_seconds - prefill_part;
        ((room / (self.decode_seconds * factor)) as usize).max(1)
    }
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            pieces: PieceCount(4_000),
            piece_tokens: 16,
            step_seconds: 0.006,
            prefill_seconds: 0.000_05,
            decode_seconds: 0.000_4,
            mixing_factor: 1.2,
            role_change_seconds: 4.0,
            import_seconds: 0.000_002,
        }
    }
}
