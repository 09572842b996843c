//! What an engine says of itself when asked: memory and step times.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    PieceCount,
    TokenCount, //
};

/// Memory and nominal step times of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineProfile {
    /// KV memory in pieces.
    pub pieces: PieceCount,
    /// Tokens held by one piece.
    pub piece_tokens: u32,
    /// Seconds that each step takes beside its tokens.
    pub step_seconds: f64,
    /// Seconds for each prompt token of a step.
    pub prefill_seconds: f64,
    /// Seconds for each running stream of a step.
    pub decode_seconds: f64,
    /// Factor on a step that both prefills and decodes.
    pub mixing_factor: f64,
    /// Seconds that a change of role takes the engine away.
    pub role_change_seconds: f64,
    /// Seconds to import the KV cache of one token.
    pub import_seconds: f64,
}

impl EngineProfile {
    /// Pieces needed to hold a number of tokens.
    pub fn pieces_for(&self, tokens: TokenCount) -> PieceCount {
        PieceCount(tokens.0.div_ceil(self.piece_tokens.max(1)))
    }

    /// Time of a step that prefills some tokens beside some streams.
    pub fn step_time(&self, prefill: TokenCount, streams: usize) -> Duration {
        let prefill_part = f64::from(prefill.0) * self.prefill_seconds;
        let decode_part = streams as f64 * self.decode_seconds;
        let mixes = prefill.0 > 0 && streams > 0;
        let factor = if mixes { self.mixing_factor } else { 1.0 };
        Duration::from_secs_f64(self.step_seconds + (prefill_part + decode_part) * factor)
    }

    /// Most streams that may run so that a step stays within a gap.
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
