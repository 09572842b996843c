//! Prompts that an engine prefills for this gateway, of which one may be overdue.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::SpeedSample;

/// Identifies a running prefill on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefillId(u64);

/// A prefill that was sent and has not ended.
#[derive(Debug, Clone, Copy)]
struct RunningPrefill {
    sent_at: Instant,
    /// Tokens to prefill until its end.
    tokens: u64,
    /// Whether other prompts were ahead of it, so that its time is no measure of the speed.
    is_queued: bool,
}

/// Running prefills of one engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningPrefills {
    next: u64,
    prefills: BTreeMap<PrefillId, RunningPrefill>,
}

impl RunningPrefills {
    /// Adds a prefill of `tokens` with `tokens_ahead` to prefill before it.
    pub(crate) fn start(&mut self, now: Instant, tokens: u64, tokens_ahead: u64) -> PrefillId {
        let id = PrefillId(self.next);
        self.next = self.next.wrapping_add(1);
        let prefill = RunningPrefill {
            sent_at: now,
            tokens: tokens.saturating_add(tokens_ahead),
            is_queued: tokens_ahead > 0,
        };
        self.prefills.insert(id, prefill);
        id
    }

    /// Removes a prefill. Returns the sample of one that has ended well.
    pub(crate) fn finish(&mut self, now: Instant, id: PrefillId) -> Option<SpeedSample> {
        let prefill = self.prefills.remove(&id)?;
        if prefill.is_queued {
            return None;
        }
        let elapsed = now.saturating_duration_since(prefill.sent_at);
        SpeedSample::new(now, prefill.tokens, elapsed, false)
    }

    /// Returns the sample of the running prefill that has taken longest for its tokens.
    pub(crate) fn slowest(&self, now: Instant) -> Option<SpeedSample> {
        let samples = self.prefills.values().filter_map(|prefill| {
            let elapsed = now.saturating_duration_since(prefill.sent_at);
            SpeedSample::new(now, prefill.tokens, elapsed, true)
        });
        samples.max_by(|a, b| a.ms_per_token.total_cmp(&b.ms_per_token))
    }
}
