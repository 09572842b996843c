//! Requests that a gateway has at one process of a backend server.

use std::time::Duration;

use tokio::time::Instant;

/// Longest time between the ends of two connections that end with their process.
const SAME_MOMENT: Duration = Duration::from_millis(10);
/// Time for which the end of a connection is kept.
const END_RETENTION: Duration = Duration::from_secs(2);

/// Other requests at the process that wrote an answer. A process takes its connections with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiblingRequests {
    /// At least one is under way.
    UnderWay,
    /// None is under way, and the connection of one ended together with that of the answer.
    EndedTogether,
    /// None is under way, and none ended together with the answer.
    None,
}

impl SiblingRequests {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnderWay => "under_way",
            Self::EndedTogether => "ended_together",
            Self::None => "none",
        }
    }
}

/// Requests under way at a process, and the latest ends of connections that may be the end of the process.
#[derive(Debug, Default)]
pub struct ProcessRequests {
    under_way: u32,
    ends: Vec<Instant>,
}

impl ProcessRequests {
    /// Adds a request that is sent.
    pub fn begin(&mut self) {
        self.under_way += 1;
    }

    /// Removes a request whose end shows nothing about the process.
    pub fn finish(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Removes a request whose connection the process or its end has closed.
    pub fn record_end(&mut self, now: Instant) {
        self.finish();
        self.ends.retain(|end| now < *end + END_RETENTION);
        self.ends.push(now);
    }

    /// Returns the siblings of a request whose connection ended at a point in time, which has been recorded.
    pub fn siblings(&self, ended_at: Instant) -> SiblingRequests {
        if self.under_way > 0 {
            return SiblingRequests::UnderWay;
        }
        let is_close = |end: &&Instant| {
            let distance = end.saturating_duration_since(ended_at);
            distance.max(ended_at.saturating_duration_since(**end)) <= SAME_MOMENT
        };
        // The end itself is among them.
        match self.ends.iter().filter(is_close).count() {
            0 | 1 => SiblingRequests::None,
            _ => SiblingRequests::EndedTogether,
        }
    }

    /// Returns whether nothing is known of the process any more.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.under_way == 0 && self.ends.iter().all(|end| now >= *end + END_RETENTION)
    }
}
