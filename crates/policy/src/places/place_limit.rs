//! Number of calls that a gateway may have at the servers of a plain service, by their response times.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the time between the unloaded response time and the latency target that calls may spend in the
/// queue of a server. The queue keeps places busy whose gateway has nothing to send.
const QUEUE_SHARE: f64 = 0.3;
/// Minimum of the time in the queue of a server, as a share of the unloaded response time.
const MIN_QUEUE_SHARE: f64 = 0.5;
/// Change of the limit by one answer, for a response time that differs by its own length.
const GAIN: f64 = 0.5;
/// Maximum of this change.
const MAX_CHANGE: f64 = 0.5;
/// Growth by one round of answers while calls are held, by which gateways with few places catch up.
const GROWTH: f64 = 0.1;
/// Factor for the limit after a rejection.
const REJECTION_FACTOR: f64 = 0.7;
/// Time without a queue after which the limit ends.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Returns the longest response time without a need to hold calls.
pub(crate) fn allowed_response(unloaded: Duration, target: Duration) -> Duration {
    let queue = target.saturating_sub(unloaded).mul_f64(QUEUE_SHARE);
    unloaded + queue.max(unloaded.mul_f64(MIN_QUEUE_SHARE))
}

/// Limit on the calls in flight, in force from the first sign of a queue at the servers to the last.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlaceLimit {
    calls: Option<f64>,
    /// Last time at which servers were seen to have a queue.
    queue_seen: Option<Instant>,
    /// Last time at which a rejection lowered the limit.
    lowered: Option<Instant>,
}

impl PlaceLimit {
    /// Returns the limit, or `None` if there is none.
    pub(crate) fn calls(self) -> Option<f64> {
        self.calls
    }

    /// Returns the time since servers were last seen to have a queue.
    pub(crate) fn queue_age(self, now: Instant) -> Option<Duration> {
        let seen = self.queue_seen?;
        Some(now.saturating_duration_since(seen))
    }

    /// Records a response time that was `allowed` without a queue that is too long. `in_flight` counts the
    /// calls at the servers, that one included, `floor` those that this gateway may have in any case, and
    /// `is_used` says whether the limit binds.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        elapsed: Duration,
        allowed: Duration,
        in_flight: usize,
        floor: f64,
        is_used: bool,
    ) {
        let has_queue = elapsed > allowed;
        if has_queue {
            self.record_queue(now, in_flight, floor);
        }
        let Some(calls) = self.calls else { return };
        let ratio = allowed.as_secs_f64() / elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let change = (GAIN * (ratio - 1.0)).clamp(-MAX_CHANGE, MAX_CHANGE);
        let next = match (has_queue, is_used) {
            (true, _) => calls + change,
            (false, true) => calls + change + GROWTH / calls.max(1.0),
            (false, false) => calls,
        };
        self.calls = Some(next.max(floor));
    }

    /// Records that servers have a queue.
    pub(crate) fn record_queue(&mut self, now: Instant, in_flight: usize, floor: f64) {
        self.queue_seen = Some(now);
        self.calls.get_or_insert((in_flight as f64).max(floor));
    }

    /// Records that a server had no room for a call. Rejections of the same `round` count once.
    pub(crate) fn record_rejection(
        &mut self,
        now: Instant,
        round: Duration,
        in_flight: usize,
        floor: f64,
    ) {
        self.queue_seen = Some(now);
        if self.lowered.is_some_and(|lowered| now < lowered + round) {
            return;
        }
        self.lowered = Some(now);
        let calls = self.calls.unwrap_or(f64::MAX).min(in_flight as f64);
        self.calls = Some((calls * REJECTION_FACTOR).max(floor));
    }

    /// Ends the limit if servers have had no queue for some time.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.queue_age(now).is_some_and(|age| age >= RELEASE_TIME) {
            self.calls = None;
        }
    }
}
