//! Online estimate of the prefill speed of one engine: how long it lasts, and whether the engine is
//! slower than that at the moment.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum number of tokens of a sample; network delay dominates the time of shorter prompts.
const MIN_SAMPLE_TOKENS: u64 = 1_500;
/// Part of the time of a prefill that does not depend on its tokens.
const FIXED_TIME: Duration = Duration::from_millis(5);
/// Minimum weight of one sample in the lasting speed.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a slower sample beside a faster one, since it may include time in a queue of prompts that
/// this gateway does not know of.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.5;
/// Ratio to the lasting speed from which a sample is a deviation rather than noise.
const DEVIATION_RATIO: f64 = 1.6;
/// Maximum ratio of a deviation.
const MAX_DEVIATION_RATIO: f64 = 4.0;
/// Number of samples from which a deviation is believed; a single one may be a wait behind prompts that
/// no gateway has reported yet.
const BELIEVED_SAMPLES: u32 = 2;
/// Time constant with which a deviation is forgotten without further samples.
const DEVIATION_DECAY: Duration = Duration::from_millis(300);
/// Time after which a deviation counts as lasting.
const LASTING_TIME: Duration = Duration::from_millis(1_500);
/// Number of deviating samples without which no deviation counts as lasting.
const LASTING_SAMPLES: u32 = 4;
/// Bounds of a plausible sample in milliseconds per token.
const PLAUSIBLE_MS_PER_TOKEN: [f64; 2] = [0.000_1, 10.0];

/// Time that an engine took to prefill a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// When the prefill ended, or was looked at.
    pub at: Instant,
    /// Milliseconds per token, tokens that were ahead in the queue included.
    pub ms_per_token: f64,
    /// Whether the prefill was still running, so that the time is a lower bound.
    pub is_running: bool,
}

impl SpeedSample {
    /// Creates the sample of a prefill that ended, or has run, `elapsed` after it was sent, with
    /// `tokens` to prefill until its end. Returns `None` if that says nothing of the speed.
    pub fn new(at: Instant, tokens: u64, elapsed: Duration, is_running: bool) -> Option<Self> {
        let millis = elapsed.saturating_sub(FIXED_TIME).as_secs_f64() * 1_000.0;
        let sample = Self {
            at,
            ms_per_token: millis / tokens.max(1) as f64,
            is_running,
        };
        (tokens >= MIN_SAMPLE_TOKENS && sample.is_plausible()).then_some(sample)
    }

    fn is_plausible(&self) -> bool {
        let [least, most] = PLAUSIBLE_MS_PER_TOKEN;
        (least..most).contains(&self.ms_per_token)
    }
}

/// Consecutive samples on one side of the lasting speed.
#[derive(Debug, Clone, Copy)]
struct SpeedDeviation {
    since: Instant,
    latest: Instant,
    /// Ratio of the latest sample to the lasting milliseconds per token.
    ratio: f64,
    samples: u32,
}

/// Estimates the prefill speed of one engine from the samples of all gateways.
///
/// A sample far from the lasting speed changes only what is expected for some hundred milliseconds;
/// when all samples have been far from it for longer than spells last, the lasting speed follows.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerSpeed {
    lasting_ms_per_token: Option<f64>,
    samples: u32,
    deviation: Option<SpeedDeviation>,
    /// Sample of this gateway that its peers have not been told yet.
    unreported: Option<SpeedSample>,
}

impl ServerSpeed {
    /// Records a sample of this gateway, which is also news for its peers.
    pub fn add_own_sample(&mut self, sample: SpeedSample) {
        self.unreported = Some(sample);
        self.add_sample(sample);
    }

    /// Records a sample. Samples that are older than the latest deviation do not end it.
    pub fn add_sample(&mut self, sample: SpeedSample) {
        if !sample.is_plausible() {
            return;
        }
        let Some(lasting) = self.lasting_ms_per_token else {
            if !sample.is_running {
                self.lasting_ms_per_token = Some(sample.ms_per_token);
                self.samples = 1;
            }
            return;
        };
        let ratio = sample.ms_per_token / lasting;
        if (1.0 / DEVIATION_RATIO..DEVIATION_RATIO).contains(&ratio) {
            if !sample.is_running {
                self.add_usual_sample(sample, lasting, ratio);
            }
        } else if ratio > 1.0 || !sample.is_running {
            self.add_deviation(sample, ratio);
        }
    }

    fn add_usual_sample(&mut self, sample: SpeedSample, lasting: f64, ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let mut weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        if ratio > 1.0 {
            weight *= SLOWER_SAMPLE_WEIGHT;
        }
        self.lasting_ms_per_token = Some(lasting * ratio.powf(weight));
        if self
            .deviation
            .is_some_and(|deviation| sample.at >= deviation.latest)
        {
            self.deviation = None;
        }
    }

    fn add_deviation(&mut self, sample: SpeedSample, ratio: f64) {
        let earlier = self.deviation.filter(|earlier| {
            (earlier.ratio > 1.0) == (ratio > 1.0)
                && sample.at.saturating_duration_since(earlier.latest) < LASTING_TIME
        });
        let deviation = SpeedDeviation {
            since: earlier.map_or(sample.at, |earlier| earlier.since.min(sample.at)),
            latest: earlier.map_or(sample.at, |earlier| earlier.latest.max(sample.at)),
            ratio: ratio.clamp(1.0 / MAX_DEVIATION_RATIO, MAX_DEVIATION_RATIO),
            samples: earlier.map_or(0, |earlier| earlier.samples).saturating_add(
                if sample.is_running {
                    BELIEVED_SAMPLES
                } else {
                    1
                },
            ),
        };
        let length = deviation.latest.saturating_duration_since(deviation.since);
        if length >= LASTING_TIME && deviation.samples >= LASTING_SAMPLES && !sample.is_running {
            self.lasting_ms_per_token = Some(sample.ms_per_token);
            self.samples = 1;
            self.deviation = None;
        } else {
            self.deviation = Some(deviation);
        }
    }

    /// Returns the tokens per millisecond that the engine prefills in the long run, or `None` before the
    /// first sample.
    pub fn lasting_tokens_per_ms(&self) -> Option<f64> {
        self.lasting_ms_per_token.map(|millis| 1.0 / millis)
    }

    /// Returns the expected ratio of the time that the engine takes now to that in the long run.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let believed = self
            .deviation
            .filter(|deviation| deviation.samples >= BELIEVED_SAMPLES);
        believed.map_or(1.0, |deviation| {
            let age = now.saturating_duration_since(deviation.latest);
            let weight = (-age.as_secs_f64() / DEVIATION_DECAY.as_secs_f64()).exp();
            deviation.ratio.powf(weight)
        })
    }

    /// Returns whether the engine is noticeably slower now than in the long run.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.slowdown(now) >= DEVIATION_RATIO
    }

    /// Returns the sample that the peers have not been told yet.
    pub fn take_unreported(&mut self) -> Option<SpeedSample> {
        self.unreported.take()
    }
}
