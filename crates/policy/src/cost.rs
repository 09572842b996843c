//! Work of a request in engine time rather than in requests.

use units::{
    TokenCount,
    WorkAmount, //
};

use crate::EngineProfile;

/// Streams that share one step when an engine is well filled.
const TYPICAL_BATCH_STREAMS: f64 = 16.0;
/// Prompt tokens that share one step when an engine is well filled.
const TYPICAL_BATCH_PREFILL_TOKENS: f64 = 512.0;

/// Estimates the engine seconds of prompts and outputs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    prefill_seconds: f64,
    decode_seconds: f64,
}

impl CostModel {
    /// Costs in seconds for each token.
    pub fn new(prefill_seconds: f64, decode_seconds: f64) -> Self {
        Self {
            prefill_seconds,
            decode_seconds,
        }
    }

    /// Derives the costs from what an engine says of itself.
    pub fn from_profile(profile: &EngineProfile) -> Self {
        let half_step_seconds = profile.step_seconds / 2.0;
        Self {
            prefill_seconds: profile.prefill_seconds
                + half_step_seconds / TYPICAL_BATCH_PREFILL_TOKENS,
            decode_seconds: profile.decode_seconds + half_step_seconds / TYPICAL_BATCH_STREAMS,
        }
    }

    /// Work to compute the KV cache of prompt tokens.
    pub fn prefill_work(&self, tokens: TokenCount) -> WorkAmount {
        WorkAmount(f64::from(tokens.0) * self.prefill_seconds)
    }

    /// Work to generate output tokens.
    pub fn decode_work(&self, tokens: TokenCount) -> WorkAmount {
        WorkAmount(f64::from(tokens.0) * self.decode_seconds)
    }
}
