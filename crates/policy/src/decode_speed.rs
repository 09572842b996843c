//! Online estimate of the decode speed of an engine by its number of concurrent streams.

use std::time::Duration;

use crate::linear_fit::LinearFit;

/// Estimate before the first sample.
const INITIAL_MS_PER_TOKEN: f64 = 8.0;
/// Weight of the initial estimate as a number of samples.
const INITIAL_WEIGHT: f64 = 5.0;
/// Lower bound of the estimate as a share of the mean time per token. An engine observed only under
/// high load would otherwise get an extrapolated time near or below zero for few streams.
const MIN_SHARE_OF_MEAN: f64 = 0.2;

/// Estimates the time per output token as a linear function of the number of concurrent streams.
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
    /// Records the time in which a stream got a number of tokens, with `streams` running
    /// concurrently.
    pub fn add_sample(&mut self, streams: u32, tokens: f64, elapsed: Duration) {
        if tokens >= 1.0 {
            let millis = elapsed.as_secs_f64() * 1_000.0 / tokens;
            self.fit.add_sample(f64::from(streams), millis);
        }
    }

    /// Returns the expected milliseconds per token of each stream, which never decrease with the
    /// number of streams.
    pub fn ms_per_token(&self, streams: f64) -> f64 {
        let (mean_streams, mean_millis) = self.fit.mean();
        let line = mean_millis + self.fit.slope() * (streams - mean_streams);
        line.max(mean_millis * MIN_SHARE_OF_MEAN)
    }

    /// Returns the expected tokens per millisecond of an engine over all of its streams.
    pub fn tokens_per_ms(&self, streams: f64) -> f64 {
        streams / self.ms_per_token(streams)
    }
}
