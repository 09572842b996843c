//! Learns how fast a decode engine makes tokens, by the streams that it runs at a time.

use std::time::Duration;

use crate::linear_fit::LinearFit;

/// Milliseconds a token before any stream was seen.
const INITIAL_MS_PER_TOKEN: f64 = 8.0;
/// Weight of the prior, in samples.
const INITIAL_WEIGHT: f64 = 5.0;
/// Least part of the mean time a token that is expected with fewer streams.
const MIN_SHARE_OF_MEAN: f64 = 0.2;

/// A line through samples of streams at a time and milliseconds a token.
#[derive(Debug, Clone, Copy)]
pub struct DecodeSpeed {
    fit: LinearFit,
}

impl Default for DecodeSpeed {
    fn default() -> Self {
        Self {
            fit: LinearFit::new(0.0, INITIAL_MS_PER_TOKEN, INITIAL_WEIGHT),
        }
    }
}

impl DecodeSpeed {
    /// Takes a stream that made tokens in some time beside others.
    pub fn add_sample(&mut self, streams: u32, tokens: f64, elapsed: Duration) {
        if tokens >= 1.0 {
            let millis = elapsed.as_secs_f64() * 1_000.0 / tokens;
            self.fit.add_sample(f64::from(streams), millis);
        }
    }

    /// Milliseconds a token with a number of streams; more streams never make it faster.
    pub fn ms_per_token(&self, streams: f64) -> f64 {
        let (mean_streams, mean_millis) = self.fit.mean();
        let line = mean_millis + self.fit.slope() * (streams - mean_streams);
        line.max(mean_millis * MIN_SHARE_OF_MEAN)
    }

    /// Tokens a millisecond that an engine makes with a number of streams.
    pub fn tokens_per_ms(&self, streams: f64) -> f64 {
        streams / self.ms_per_token(streams)
    }
}
