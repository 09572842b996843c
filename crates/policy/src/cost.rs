//! Cost of a request, measured in engine time instead of a request count.

use units::{
    EngineSeconds,
    TokenCount, //
};

use crate::EngineProfile;

/// Number of streams that share one step of a well-utilized engine.
const TYPICAL_BATCH_STREAMS: f64 = 16.0;
/// Number of prompt tokens that share one step of a well-utilized engine.
const TYPICAL_BATCH_PREFILL_TOKENS: f64 = 512.0;

/// Estimates the engine time, in seconds, of prefill and decode.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostModel {
    prefill_seconds: f64,
    decode_seconds: f64,
}

impl CostModel {
    /// Creates a model from the seconds per prompt token and per output token.
    pub fn new(prefill_seconds: f64, decode_seconds: f64) -> Self {
        Self {
            prefill_seconds,
            decode_seconds,
        }
    }

    /// Derives the costs per token from an engine's published profile.
    pub fn from_profile(profile: &EngineProfile) -> Self {
        let half_step_seconds = profile.step_seconds / 2.0;
        Self {
            prefill_seconds: profile.prefill_seconds
                + half_step_seconds / TYPICAL_BATCH_PREFILL_TOKENS,
            decode_seconds: profile.decode_seconds + half_step_seconds / TYPICAL_BATCH_STREAMS,
        }
    }

    /// Returns the work to prefill a number of prompt tokens.
    pub fn prefill_work(&self, tokens: TokenCount) -> EngineSeconds {
        EngineSeconds(f64::from(tokens.0) * self.prefill_seconds)
    }

    /// Returns the work to generate a number of output tokens.
    pub fn decode_work(&self, tokens: TokenCount) -> EngineSeconds {
        EngineSeconds(f64::from(tokens.0) * self.decode_seconds)
    }
}
