//! Online estimate of the prefill speed of a service's engines.

use std::time::Duration;

/// Estimate before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 0.03;
/// Quantile of the samples that the estimate tracks. It is below the median because slower samples
/// include time queued behind prompts of other gateways.
const QUANTILE: f64 = 0.35;
/// Relative change of the estimate per sample.
const RELATIVE_STEP: f64 = 0.04;
/// Minimum number of tokens of a sample; network delay dominates the time of shorter prompts.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// Estimates the prefill speed as a low quantile of the milliseconds per token. Samples should come
/// from prompts that were sent to engines with no known prefill backlog.
#[derive(Debug, Clone, Copy)]
pub struct PrefillSpeed {
    ms_per_token: f64,
}

impl PrefillSpeed {
    /// Returns the speed in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        1.0 / self.ms_per_token
    }

    /// Records the time that an engine took to prefill a number of tokens.
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
