//! Time for which a backend server wants no more requests from this gateway.

use std::time::Duration;

use tokio::time::Instant;

/// Longest rest. Only an answer to a further request shows that a longer one has ended.
const MAX_REST: Duration = Duration::from_secs(60);
/// Time after a rest in which the server gets as many requests as before again.
const SLOW_START: Duration = Duration::from_secs(1);

/// Rest that an answer names, and the time in which the server wrote the answer.
#[derive(Debug, Clone, Copy)]
struct RestObservation {
    until: Instant,
    answered_at: Instant,
}

/// State of a process that may have turned this gateway away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestState {
    /// It takes requests.
    Awake,
    /// It wants none until then.
    Resting(Instant),
    /// Its rest has ended, and it has as many requests as it may have so soon after.
    Starting,
}

/// Rest of one process of a backend server, as it told this gateway.
#[derive(Debug, Clone, Default)]
pub struct ServerRest {
    observation: Option<RestObservation>,
    /// Requests that this gateway had sent it as the rest began.
    requests_before: u32,
    /// Whether the end has not been reported yet.
    is_open: bool,
}

impl ServerRest {
    /// Records that the server has turned a request away for some time. `requests` is the number that
    /// it is working on for this gateway. Returns whether a rest begins.
    pub fn observe(
        &mut self,
        asked_at: Instant,
        answered_at: Instant,
        rest: Duration,
        requests: u32,
    ) -> bool {
        let mut until = answered_at + rest.min(MAX_REST);
        let known = self.observation;
        // Of answers that may have overtaken each other, the longer rest holds.
        if let Some(known) = known.filter(|known| asked_at < known.answered_at) {
            until = until.max(known.until);
        }
        let is_new = known.is_none_or(|known| answered_at >= known.until);
        if is_new {
            self.requests_before = requests;
        }
        self.observation = Some(RestObservation { until, answered_at });
        self.is_open = true;
        is_new
    }

    /// Returns the state of a server that is working on a number of requests of this gateway.
    pub fn state(&self, now: Instant, requests: u32) -> RestState {
        let Some(known) = self.observation else {
            return RestState::Awake;
        };
        if now < known.until {
            return RestState::Resting(known.until);
        }
        let elapsed = now - known.until;
        let part = elapsed.as_secs_f64() / SLOW_START.as_secs_f64();
        let allowed = (f64::from(self.requests_before) * part).max(1.0);
        if part < 1.0 && f64::from(requests) >= allowed {
            RestState::Starting
        } else {
            RestState::Awake
        }
    }

    /// Returns whether the rest has ended since the last call.
    pub fn take_end(&mut self, now: Instant) -> bool {
        let has_ended = self.observation.is_some_and(|known| now >= known.until);
        has_ended && std::mem::take(&mut self.is_open)
    }
}
