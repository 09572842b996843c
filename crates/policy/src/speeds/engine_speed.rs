//! Speed of an engine in its view, with the prompts that it prefills for this gateway.

use tokio::time::Instant;

use super::{
    PrefillId,
    PrefillPace,
    SpeedSample, //
};
use crate::BackendView;

/// Ratio of the time that a prefill has run to the expected one from which it is overdue.
const OVERDUE_RATIO: f64 = 1.6;

impl BackendView {
    /// Records that a prefill of `tokens` is sent with `tokens_ahead` to prefill before it.
    pub fn start_prefill(&mut self, now: Instant, tokens: u64, tokens_ahead: u64) -> PrefillId {
        self.running_prefills.start(now, tokens, tokens_ahead)
    }

    /// Records that a prefill has ended, well or not.
    pub fn finish_prefill(&mut self, now: Instant, id: PrefillId, is_success: bool) {
        let sample = self.running_prefills.finish(now, id);
        if let Some(sample) = sample.filter(|_| is_success) {
            self.speed.add_own_sample(sample);
        }
    }

    /// Returns the sample for the peers' load reports: that of the latest prefill, or that of one that is
    /// overdue.
    pub fn take_speed_report(&mut self, now: Instant) -> Option<SpeedSample> {
        if let Some(sample) = self.overdue_sample(now) {
            self.speed.add_sample(sample);
            return Some(sample);
        }
        self.speed.take_unreported()
    }

    fn overdue_sample(&self, now: Instant) -> Option<SpeedSample> {
        let sample = self.running_prefills.slowest(now)?;
        let lasting = self.speed.lasting_tokens_per_ms()?;
        (sample.ms_per_token * lasting >= OVERDUE_RATIO).then_some(sample)
    }

    /// Returns the expected pace beside the mean lasting speed of the engines of its service. A prompt that
    /// is overdue there is news before its end.
    pub(crate) fn prefill_pace(
        &self,
        now: Instant,
        mean_tokens_per_ms: Option<f64>,
    ) -> PrefillPace {
        let lasting = self.speed.lasting_tokens_per_ms();
        let relative_speed = match (lasting, mean_tokens_per_ms) {
            (Some(lasting), Some(mean)) => lasting / mean,
            _ => 1.0,
        };
        let mut speed = self.speed;
        if let Some(sample) = self.overdue_sample(now) {
            speed.add_sample(sample);
        }
        PrefillPace {
            relative_speed,
            slowdown: speed.slowdown(now),
        }
    }
}
