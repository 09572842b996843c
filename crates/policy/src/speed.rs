//! Learns how fast the engines of a service read prompts.

use std::time::Duration;

/// Milliseconds a token before any was read.
const TOKEN_PRIOR_MS: f64 = 0.03;
/// Share of samples that are faster than the estimate. Slow ones waited behind prompts of other
/// gateways.
const FAST_SHARE: f64 = 0.35;
/// Relative step of the estimate.
const STEP: f64 = 0.04;
/// Fewest tokens of a sample; shorter prompts measure delays rather than speed.
const SAMPLE_TOKENS: u32 = 1_500;

/// Estimate of the reading speed of a stage: a low quantile of the time a token, over prompts that
/// had none before them as far as is known.
#[derive(Debug, Clone, Copy)]
pub struct ReadSpeed {
    token_ms: f64,
}

impl ReadSpeed {
    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        1.0 / self.token_ms
    }

    /// Takes the time in which an engine has read some tokens.
    pub fn note(&mut self, tokens: u32, taken: Duration) {
        if tokens < SAMPLE_TOKENS {
            return;
        }
        let sample = taken.as_secs_f64() * 1_000.0 / f64::from(tokens);
        self.token_ms *= if sample < self.token_ms {
            1.0 - STEP * (1.0 - FAST_SHARE)
        } else {
            1.0 + STEP * FAST_SHARE
        };
    }
}

impl Default for ReadSpeed {
    fn default() -> Self {
        Self {
            token_ms: TOKEN_PRIOR_MS,
        }
    }
}
