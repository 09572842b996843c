//! Learns how fast a decode engine makes tokens, by the streams that it runs at a time.

use std::time::Duration;

use crate::line_fit::LineFit;

/// Milliseconds a token before any stream was seen.
const TOKEN_PRIOR_MS: f64 = 8.0;
/// Weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 5.0;
/// Least part of the mean time a token that is expected with fewer streams.
const LEAST_SHARE: f64 = 0.2;

/// A line through samples of streams at a time and milliseconds a token.
#[derive(Debug, Clone, Copy)]
pub struct StepModel {
    fit: LineFit,
}

impl Default for StepModel {
    fn default() -> Self {
        Self {
            fit: LineFit::new(0.0, TOKEN_PRIOR_MS, PRIOR_WEIGHT),
        }
    }
}

impl StepModel {
    /// Takes a stream that made tokens in some time beside others.
    pub fn note(&mut self, streams: u32, tokens: f64, taken: Duration) {
        if tokens >= 1.0 {
            let millis = taken.as_secs_f64() * 1_000.0 / tokens;
            self.fit.note(f64::from(streams), millis);
        }
    }

    /// Milliseconds a token with a number of streams; more streams never make it faster.
    pub fn token_ms(&self, streams: f64) -> f64 {
        let (mean_streams, mean_millis) = self.fit.mean();
        let line = mean_millis + self.fit.slope() * (streams - mean_streams);
        line.max(mean_millis * LEAST_SHARE)
    }

    /// Tokens a millisecond that an engine makes with a number of streams.
    pub fn rate(&self, streams: f64) -> f64 {
        streams / self.token_ms(streams)
    }
}
