//! Learns how fast the engines of a service read prompts.

use std::time::Duration;

/// Prompt tokens a millisecond before any was read.
const SPEED_PRIOR: f64 = 20.0;
/// Part of the estimate that is kept for each slower sample, so that it follows a lasting change.
const SPEED_DECAY: f64 = 0.995;
/// Weight of a faster sample.
const SPEED_RISE: f64 = 0.3;
/// Fewest tokens of a sample; shorter prompts measure delays rather than speed.
const SAMPLE_TOKENS: u32 = 1_000;

/// Estimate of the reading speed of a stage, from reads that had little before them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadSpeed {
    tokens_per_ms: f64,
}

impl ReadSpeed {
    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Takes a read of `tokens`, with those known to be ahead of it included.
    pub fn note(&mut self, tokens: u32, taken: Duration) {
        let millis = taken.as_secs_f64() * 1_000.0;
        if tokens < SAMPLE_TOKENS || millis <= 0.0 {
            return;
        }
        let sample = f64::from(tokens) / millis;
        if sample > self.tokens_per_ms {
            self.tokens_per_ms += SPEED_RISE * (sample - self.tokens_per_ms);
        } else {
            self.tokens_per_ms = (self.tokens_per_ms * SPEED_DECAY).max(sample);
        }
    }
}

impl Default for ReadSpeed {
    fn default() -> Self {
        Self {
            tokens_per_ms: SPEED_PRIOR,
        }
    }
}
