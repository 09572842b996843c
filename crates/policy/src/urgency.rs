//! In which order engines take the prompts of one rank.

use std::time::Duration;

use crate::ReadPlace;

/// Priorities between two ranks of the configuration, so that one may be raised within its rank.
const RANK_STRIDE: u8 = 3;
/// Priority of prompts that are read after all others.
pub const LAST_PRIORITY: u8 = u8::MAX;
/// Shares of the target that reading alone takes, from which a prompt goes one step and two steps
/// behind smaller ones of its rank.
const SIZE_SHARES: [f64; 2] = [0.25, 0.7];

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
    pub fn priority(self, place: ReadPlace, whole_read: Duration) -> u8 {
        if place == ReadPlace::LAST {
            return LAST_PRIORITY;
        }
        let share = whole_read.as_secs_f64() / self.target.as_secs_f64().max(0.001);
        let steps = SIZE_SHARES.iter().filter(|step| share >= **step).count();
        let base = self.rank.saturating_mul(RANK_STRIDE);
        base.saturating_add(steps as u8)
    }

    /// Place of a prompt whose reading is predicted to begin some time after the request came and
    /// to take some time.
    pub fn place_at(self, begin: Duration, read: Duration) -> ReadPlace {
        if self.is_late(begin, read) {
            ReadPlace::LAST
        } else {
            self.place()
        }
    }

    /// Place of a prompt that is not put behind all others.
    pub fn place(self) -> ReadPlace {
        ReadPlace::of_rank(self.rank)
    }

    /// Whether a prompt is read after all others. Its answer is late in any case, and before the
    /// others it would make theirs late too. The most urgent rank has nothing before it that could
    /// make it late. Long prompts are read faster than predicted, so that theirs counts up to half
    /// of the target.
    pub fn is_late(self, begin: Duration, read: Duration) -> bool {
        self.rank > 0 && begin + read.min(self.target / 2) > self.target
    }
}
