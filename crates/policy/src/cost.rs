//! Work of a request in engine time rather than in requests.

use units::{
    EngineSeconds,
    TokenCount, //
};

use crate::EngineProfile;

/// Streams that share one step when an engine is well filled.
const SHARED_STREAMS: f64 = 16.0;
/// Prompt tokens that share one step when an engine is well filled.
const SHARED_PREFILL_TOKENS: f64 = 512.0;

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
        let step = profile.step_seconds / 2.0;
        Self {
            prefill_seconds: profile.prefill_seconds + step / SHARED_PREFILL_TOKENS,
            decode_seconds: profile.decode_seconds + step / SHARED_STREAMS,
        }
    }

    /// Work to compute the KV cache of prompt tokens.
    pub fn prefill_work(&self, tokens: TokenCount) -> EngineSeconds {
        EngineSeconds(f64::from(tokens.0) * self.prefill_seconds)
    }

    /// Work to generate output tokens.
    pub fn decode_work(&self, tokens: TokenCount) -> EngineSeconds {
        EngineSeconds(f64::from(tokens.0) * self.decode_seconds)
    }
}
