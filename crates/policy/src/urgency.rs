//! Order in which engines prefill prompts, by rank, size and expected lateness.

use std::time::Duration;

use crate::QueuePosition;

/// Number of engine priorities per configured rank, so that prompts of one rank can be ordered by
/// size.
const PRIORITIES_PER_RANK: u8 = 3;
/// Priority of prompts that are prefilled after all others.
pub const LOWEST_PRIORITY: u8 = u8::MAX;
/// Shares of the target that prefill alone takes, from which a prompt is ordered one and two
/// priorities after smaller prompts of its rank.
const TARGET_SHARE_STEPS: [f64; 2] = [0.25, 0.7];

/// Share of the mean prefill time of the queued prompts up to which a prompt counts as short beside them.
const SHORT_PROMPT_SHARE: f64 = 0.5;

/// Properties of a request's route that decide the queue position of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptUrgency {
    /// Rank of its route, 0 being the most urgent.
    pub rank: u8,
    /// Target for the time from the request's arrival to the start of the response.
    pub target: Duration,
}

impl PromptUrgency {
    /// Returns the engine priority, 0 being the most urgent, of a request at a queue position whose
    /// whole prompt, without cache hits, takes `full_prefill`. Longer prompts of a rank come later,
    /// since a prompt that takes most of its target would delay many short ones past theirs.
    pub fn priority(self, position: QueuePosition, full_prefill: Duration) -> u8 {
        if position == QueuePosition::LAST {
            return LOWEST_PRIORITY;
        }
        let share = full_prefill.as_secs_f64() / self.target.as_secs_f64().max(0.001);
        let steps = TARGET_SHARE_STEPS
            .iter()
            .filter(|limit| share >= **limit)
            .count();
        let base = self.rank.saturating_mul(PRIORITIES_PER_RANK);
        base.saturating_add(steps as u8)
    }

    /// Returns the queue position of a prompt whose prefill is expected to start `prefill_start`
    /// after the request's arrival and to take `prefill_time`.
    pub fn position_at(self, prefill_start: Duration, prefill_time: Duration) -> QueuePosition {
        if self.will_miss_target(prefill_start, prefill_time) {
            QueuePosition::LAST
        } else {
            self.position()
        }
    }

    /// Returns the queue position of a prompt on an engine whose queued prompts take `mean_queued` each
    /// on average. A prompt that is short beside those keeps the position of its rank even if it is
    /// late: it delays them by little, and behind all of them its caller would leave before it starts.
    pub fn position_among(
        self,
        prefill_start: Duration,
        prefill_time: Duration,
        mean_queued: Duration,
    ) -> QueuePosition {
        if prefill_time <= mean_queued.mul_f64(SHORT_PROMPT_SHARE) {
            return self.position();
        }
        self.position_at(prefill_start, prefill_time)
    }

    /// Returns the queue position given by the rank alone.
    pub fn position(self) -> QueuePosition {
        QueuePosition::for_rank(self.rank)
    }

    /// Returns the queue position of the prompt of a stream of which the caller has events. Behind all others
    /// under overload, it would come after its caller has left, and what was generated would be lost.
    pub fn resumed_position(self) -> QueuePosition {
        self.position()
    }

    /// Returns whether a prompt is expected to miss its target and therefore goes last: ahead of
    /// other prompts, it would only make those late as well. Prompts of the most urgent rank never
    /// go last, because no other rank is ahead of them. The prefill time counts up to half of the
    /// target, because the estimate is too high for long prompts.
    pub fn will_miss_target(self, prefill_start: Duration, prefill_time: Duration) -> bool {
        self.rank > 0 && prefill_start + prefill_time.min(self.target / 2) > self.target
    }
}
