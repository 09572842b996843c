//! In which order engines take the prompts of one rank.

use std::time::Duration;

use crate::QueuePosition;

/// Priorities between two ranks of the configuration, so that one may be raised within its rank.
const PRIORITIES_PER_RANK: u8 = 3;
/// Priority of prompts that are read after all others.
pub const LOWEST_PRIORITY: u8 = u8::MAX;
/// Shares of the target that reading alone takes, from which a prompt goes one step and two steps
/// behind smaller ones of its rank.
const TARGET_SHARE_STEPS: [f64; 2] = [0.25, 0.7];

/// What decides on the place of a prompt among others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptUrgency {
    /// Rank of its route, 0 being the most urgent.
    pub rank: u8,
    /// Time within which its answer is to begin.
    pub target: Duration,
}

impl PromptUrgency {
    /// Priority, 0 being the most urgent, of a request in some place whose whole prompt takes some
    /// time to read. A prompt that takes most of its target would make many small ones late.
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

    /// Place of a prompt whose reading is predicted to begin some time after the request came and
    /// to take some time.
    pub fn position_at(self, prefill_start: Duration, prefill_time: Duration) -> QueuePosition {
        if self.will_miss_target(prefill_start, prefill_time) {
            QueuePosition::LAST
        } else {
            self.position()
        }
    }

    /// Place of a prompt that is not put behind all others.
    pub fn position(self) -> QueuePosition {
        QueuePosition::for_rank(self.rank)
    }

    /// Whether a prompt is read after all others. Its answer is late in any case, and before the
    /// others it would make theirs late too. The most urgent rank has nothing before it that could
    /// make it late. Long prompts are read faster than predicted, so that theirs counts up to half
    /// of the target.
    pub fn will_miss_target(self, prefill_start: Duration, prefill_time: Duration) -> bool {
        self.rank > 0 && prefill_start + prefill_time.min(self.target / 2) > self.target
    }
}
