//! Calls of a gateway to one plain service: those at the servers and those that it holds.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use units::InstanceId;

use super::place_limit::{
    PlaceLimit,
    allowed_response, //
};
use super::place_queue::{
    HeldCall,
    PlaceId,
    PlaceQueue, //
};
use super::response_estimate::ResponseEstimate;
use super::unloaded_times::UnloadedTimes;
use crate::return_times::ReturnTimes;

/// Response time of a service before the first answer.
const DEFAULT_RESPONSE_TIME: Duration = Duration::from_millis(50);
/// Age of a call in flight, in allowed response times, from which it no longer stands for a place that is
/// taken, since its server may be lost.
const OVERDUE_RESPONSES: u32 = 4;
/// Calls at the servers for each place that show a queue before answers do.
const CROWDED_CALLS_PER_PLACE: u32 = 2;
/// Age from which the latest response times say nothing of the servers' queues.
const OUTDATED_AGE: Duration = Duration::from_millis(500);
/// Longest expected wait of a held call, as a share of the time until its deadline.
const LONGEST_WAIT_SHARE: f64 = 0.5;
/// Response time up to which late calls are sent, as a multiple of the unloaded one.
const LATE_RESPONSE_FACTOR: f64 = 1.2;
/// Shortest pause after a rejection and its random part, as shares of the allowed response time.
const MIN_PAUSE: f64 = 0.2;
const PAUSE_SPREAD: f64 = 0.3;

/// Places of the servers of a service, and the gateways that share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceSupply {
    /// Number of requests that the servers run at once.
    pub places: u32,
    /// Number of calls of all gateways at the servers, as far as known.
    pub taken: u32,
    /// Number of gateways, this one included.
    pub gateways: usize,
}

impl PlaceSupply {
    /// Returns the number of calls that a gateway may have in flight in any case.
    fn floor(self) -> f64 {
        let free = self.places.saturating_sub(self.taken);
        let share = f64::from(self.places.saturating_add(free)) / self.gateways.max(1) as f64;
        share.max(1.0)
    }
}

/// Answer of a plain server.
#[derive(Debug, Clone, Copy)]
pub struct AnsweredCall<'a> {
    /// Backend server.
    pub instance: &'a InstanceId,
    /// Time from sending the call to its answer.
    pub elapsed: Duration,
    /// Latency target of the call.
    pub target: Duration,
    /// Whether the server was known to have free places when the call was sent.
    pub had_free_places: bool,
}

/// What becomes of a call that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceVerdict {
    /// It is sent now.
    Sent(PlaceId),
    /// It is held until a place is expected to be free.
    Held(PlaceId),
    /// It cannot be answered before its deadline. Holds the time after which the caller may come back.
    Refused(Duration),
}

/// Calls of a gateway to one plain service.
#[derive(Debug, Clone, Default)]
pub struct ServicePlaces {
    limit: PlaceLimit,
    queue: PlaceQueue,
    in_flight: BTreeMap<PlaceId, Instant>,
    unloaded: UnloadedTimes,
    allowed: Option<Duration>,
    /// Unloaded response time of the server that answered last.
    unloaded_time: Duration,
    responses: ResponseEstimate,
    /// Time of the latest answer.
    answered_at: Option<Instant>,
    /// End of the pause after a rejection.
    paused_until: Option<Instant>,
    returns: ReturnTimes,
    last_id: u64,
}

impl ServicePlaces {
    /// Returns the number of held calls.
    pub fn held(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether a call is held.
    pub fn is_held(&self, id: PlaceId) -> bool {
        self.queue.contains(id)
    }

    /// Returns the number of calls at the servers.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the limit on the calls at the servers, or `None` if there is none.
    pub fn limit(&self) -> Option<f64> {
        self.limit.calls()
    }

    /// Returns the time since servers were last seen to have a queue.
    pub fn queue_age(&self, now: Instant) -> Option<Duration> {
        self.limit.queue_age(now)
    }

    /// Decides on a call that arrives. `jitter`, from 0 to 1, is drawn at random.
    pub fn enter(
        &mut self,
        now: Instant,
        call: HeldCall,
        supply: PlaceSupply,
        jitter: f64,
    ) -> PlaceVerdict {
        self.last_id += 1;
        let id = PlaceId(self.last_id);
        self.limit.expire(now);
        if supply.taken >= supply.places.saturating_mul(CROWDED_CALLS_PER_PLACE) {
            self.limit
                .record_queue(now, self.counted(now), supply.floor());
        }
        let rate = self.rate(supply);
        let wait = |ahead: usize| {
            Duration::try_from_secs_f64((ahead + 1) as f64 / rate).unwrap_or(Duration::MAX)
        };
        let response = self.response_time();
        let ahead = self.queue.count_in_time_ahead(now, response, call);
        let is_in_time = wait(ahead).saturating_add(response) <= call.due - now;
        let goes_next = self.queue.is_empty() || (ahead == 0 && is_in_time);
        if goes_next && self.has_place(now, supply) {
            self.in_flight.insert(id, now);
            return PlaceVerdict::Sent(id);
        }
        let late_wait = wait(self.queue.len());
        let time_left = call.deadline.saturating_duration_since(now);
        let longest_wait = time_left.mul_f64(LONGEST_WAIT_SHARE);
        if !is_in_time && late_wait.saturating_add(response) > longest_wait {
            return PlaceVerdict::Refused(self.returns.next_delay(now, late_wait, rate, jitter));
        }
        self.queue.push(id, call);
        PlaceVerdict::Held(id)
    }

    /// Returns the held calls that are sent now.
    pub fn admit(&mut self, now: Instant, supply: PlaceSupply) -> Vec<PlaceId> {
        self.limit.expire(now);
        let response = self.response_time();
        let mut admitted = Vec::new();
        while self.has_place(now, supply)
            && let Some(id) = self
                .queue
                .pop(now, response, self.has_room_for_late(now, supply))
        {
            self.in_flight.insert(id, now);
            admitted.push(id);
        }
        admitted
    }

    /// Removes a call that has ended, or whose caller has left.
    pub fn leave(&mut self, id: PlaceId) {
        if self.in_flight.remove(&id).is_none() {
            self.queue.remove(id);
        }
    }

    /// Removes a held call that is given up. Returns the time after which its caller may come back.
    pub fn give_up(
        &mut self,
        now: Instant,
        id: PlaceId,
        supply: PlaceSupply,
        jitter: f64,
    ) -> Duration {
        self.leave(id);
        let rate = self.rate(supply);
        let wait = (self.queue.len() + 1) as f64 / rate;
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        self.returns.next_delay(now, wait, rate, jitter)
    }

    /// Records an answer to a call that is still in flight.
    pub fn record_answer(&mut self, now: Instant, call: AnsweredCall<'_>, supply: PlaceSupply) {
        let AnsweredCall {
            instance,
            elapsed,
            target,
            had_free_places,
        } = call;
        self.responses.record(elapsed);
        self.answered_at = Some(now);
        let mean = self.responses.mean().unwrap_or(elapsed);
        let unloaded = self
            .unloaded
            .record(instance, elapsed, mean, had_free_places);
        let allowed = allowed_response(unloaded, target);
        self.allowed = Some(allowed);
        self.unloaded_time = unloaded;
        let is_used = !self.has_place(now, supply) || !self.queue.is_empty();
        let in_flight = self.counted(now);
        let floor = supply.floor();
        self.limit.record_answer(
            now,
            self.responses.shortest(),
            allowed,
            in_flight,
            floor,
            is_used,
        );
    }

    /// Records that a server had no room for a call that is still in flight. `jitter`, from 0 to 1, is drawn
    /// at random.
    pub fn record_rejection(&mut self, now: Instant, supply: PlaceSupply, jitter: f64) {
        let round = self.allowed.unwrap_or(DEFAULT_RESPONSE_TIME);
        self.paused_until = Some(now + round.mul_f64(MIN_PAUSE + jitter * PAUSE_SPREAD));
        if let Some(mean) = self.responses.mean() {
            self.unloaded.record_rejection(mean);
        }
        let in_flight = self.counted(now);
        self.limit
            .record_rejection(now, round, in_flight, supply.floor());
    }

    /// Returns a time in which most calls are answered once they are sent.
    pub fn response_time(&self) -> Duration {
        self.responses.bound().unwrap_or(DEFAULT_RESPONSE_TIME)
    }

    /// Returns the calls that are expected to be answered each second while the limit binds.
    fn rate(&self, supply: PlaceSupply) -> f64 {
        let calls = self.limit.calls().unwrap_or(f64::from(supply.places));
        let response = self.responses.mean().unwrap_or(DEFAULT_RESPONSE_TIME);
        calls.max(supply.floor()) / response.as_secs_f64().max(0.001)
    }

    fn has_place(&self, now: Instant, supply: PlaceSupply) -> bool {
        let Some(calls) = self.limit.calls() else {
            return true;
        };
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        !is_paused && self.counted(now) < calls.max(supply.floor()) as usize
    }

    /// Returns whether places are free for calls that have missed their target. While servers have a queue,
    /// such a call would make others late as well.
    fn has_room_for_late(&self, now: Instant, supply: PlaceSupply) -> bool {
        if self.limit.calls().is_none() || supply.taken < supply.places {
            return true;
        }
        // One call now and then shows when the queue has ended.
        let answered = self.answered_at;
        let is_outdated = answered.is_none_or(|at| now >= at + OUTDATED_AGE);
        let has_no_queue =
            self.responses.shortest() < self.unloaded_time.mul_f64(LATE_RESPONSE_FACTOR);
        has_no_queue || (is_outdated && self.counted(now) == 0)
    }

    /// Returns the number of calls in flight that are not overdue.
    fn counted(&self, now: Instant) -> usize {
        let allowed = self.allowed.unwrap_or(DEFAULT_RESPONSE_TIME);
        let overdue = allowed * OVERDUE_RESPONSES;
        let sent = self.in_flight.values();
        sent.filter(|sent| now < **sent + overdue).count()
    }
}
