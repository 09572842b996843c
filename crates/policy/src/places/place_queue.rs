//! Calls that a gateway holds until a place at a plain server is expected to be free.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::token_queue::FLOOR_INTERVAL;

/// Number of a call that is held or in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlaceId(pub(crate) u64);

/// Properties of a call that decide when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldCall {
    /// Rank, 0 being the most urgent.
    pub rank: u8,
    /// Time until which an answer meets the latency target.
    pub due: Instant,
    /// Time after which an answer is of no use.
    pub deadline: Instant,
}

/// Rank, due time and number of a held call.
type CallKey = (u8, Instant, PlaceId);

/// Held calls by rank and due time, with their deadlines.
#[derive(Debug, Clone, Default)]
pub(crate) struct PlaceQueue {
    waiting: BTreeMap<CallKey, Instant>,
    served: u32,
}

impl PlaceQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn push(&mut self, id: PlaceId, call: HeldCall) {
        self.waiting
            .insert((call.rank, call.due, id), call.deadline);
    }

    pub(crate) fn contains(&self, id: PlaceId) -> bool {
        self.waiting.keys().any(|(_, _, other)| *other == id)
    }

    pub(crate) fn remove(&mut self, id: PlaceId) {
        self.waiting.retain(|(_, _, other), _| *other != id);
    }

    /// Returns the number of held calls that go before a new one that can meet its target, if the answer
    /// takes `response`.
    pub(crate) fn count_in_time_ahead(
        &self,
        now: Instant,
        response: Duration,
        call: HeldCall,
    ) -> usize {
        let answered = now + response;
        let keys = self.waiting.keys();
        let ahead = keys
            .filter(|(rank, due, _)| *due >= answered && (*rank, *due) <= (call.rank, call.due));
        ahead.count()
    }

    /// Removes and returns the call that goes next, if the answer takes `response`: by rank, with every
    /// fifth turn for another rank, then those that can meet their target before those that are late. Late
    /// ones go only `with_late`.
    pub(crate) fn pop(
        &mut self,
        now: Instant,
        response: Duration,
        with_late: bool,
    ) -> Option<PlaceId> {
        let answered = now + response;
        let in_time = |(key, _): (&CallKey, &Instant)| (key.1 >= answered).then_some(*key);
        let useful = |(key, deadline): (&CallKey, &Instant)| {
            (with_late && *deadline >= answered).then_some(*key)
        };
        let in_time: BTreeMap<u8, CallKey> = first_by_rank(self.waiting.iter().filter_map(in_time));
        let key = self.choose(&in_time).or_else(|| {
            let useful = first_by_rank(self.waiting.iter().filter_map(useful));
            self.choose(&useful)
        })?;
        self.waiting.remove(&key);
        self.served = self.served.wrapping_add(1);
        Some(key.2)
    }

    /// Returns the call of the most urgent rank, or in every fifth turn the oldest of the other ranks.
    fn choose(&self, first: &BTreeMap<u8, CallKey>) -> Option<CallKey> {
        let mut keys = first.values().copied();
        let top = keys.next()?;
        let is_floor_turn = self.served % FLOOR_INTERVAL == FLOOR_INTERVAL - 1;
        let oldest = keys.min_by_key(|(_, _, id)| *id);
        Some(oldest.filter(|_| is_floor_turn).unwrap_or(top))
    }
}

/// Returns the first call of each rank.
fn first_by_rank(keys: impl Iterator<Item = CallKey>) -> BTreeMap<u8, CallKey> {
    let mut first = BTreeMap::new();
    for key in keys {
        first.entry(key.0).or_insert(key);
    }
    first
}
