//! Learns how fast the engines of a service read prompts.

use std::time::Duration;

/// Milliseconds a token before any was read.
const INITIAL_MS_PER_TOKEN: f64 = 0.03;
/// Share of samples that are faster than the estimate. Slow ones waited behind prompts of other
/// gateways.
const QUANTILE: f64 = 0.35;
/// Relative step of the estimate.
const RELATIVE_STEP: f64 = 0.04;
/// Fewest tokens of a sample; shorter prompts measure delays rather than speed.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// Estimate of the reading speed of a stage: a low quantile of the time a token, over prompts that
/// had none before them as far as is known.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSpeed {
    ms_per_token: f64,
}

impl PrefillSpeed {
    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        1.0 / self.ms_per_token
    }

    /// Takes the time in which an engine has read some tokens.
    pub fn add_sample(&mut self, tokens: u32, elapsed: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = elapsed.as_secs_f64() * 1_000.0 / f64::from(tokens);
        self.ms_per_token *= if sample < self.ms_per_token {
            1.0 - RELATIVE_STEP * (1.0 - QUANTILE)
        } else {
            1.0 + RELATIVE_STEP * QUANTILE
        };
    }
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            ms_per_token: INITIAL_MS_PER_TOKEN,
        }
    }
}
