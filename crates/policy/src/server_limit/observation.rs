//! What an answer of a backend server says about its limit.

use tokio::time::Instant;
use units::RequestRate;

/// Limit that an answer names, and the time in which the server wrote the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitObservation {
    /// Requests that the server takes from all gateways together; `None` if it names no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent, or the latest such time of several answers.
    pub asked_at: Instant,
    /// When the head of the answer arrived, or the latest such time of several answers.
    pub answered_at: Instant,
}

impl LimitObservation {
    /// Returns whether the server wrote this answer after another one.
    fn is_later_than(&self, other: &Self) -> bool {
        self.asked_at >= other.answered_at
    }

    /// Returns what the server wrote last. Of answers that may have overtaken each other, the stricter
    /// one holds.
    pub(super) fn merge(self, other: Self) -> Self {
        if self.is_later_than(&other) {
            return self;
        }
        if other.is_later_than(&self) {
            return other;
        }
        let rates = [self.rate, other.rate].into_iter().flatten();
        Self {
            rate: rates.reduce(|a, b| if b < a { b } else { a }),
            asked_at: self.asked_at.max(other.asked_at),
            answered_at: self.answered_at.max(other.answered_at),
        }
    }
}
