//! Response times of plain servers without a queue.

use std::collections::BTreeMap;
use std::time::Duration;

use units::InstanceId;

/// Weight of one answer in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Maximum number of servers that are remembered; the servers of a service come and go.
const MAX_SERVERS: usize = 256;

/// Divisor of the mean response time for that of a server whose free places were never seen, after a
/// rejection: the queue of a full server takes at least as long as the calls that run.
const FULL_SERVER_DIVISOR: u32 = 2;

#[derive(Debug, Clone, Copy)]
struct UnloadedTime {
    time: Duration,
    /// Whether the server has answered while it had free places.
    is_confirmed: bool,
}

/// Response time of each server of a service while it has free places.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnloadedTimes {
    times: BTreeMap<InstanceId, UnloadedTime>,
}

impl UnloadedTimes {
    /// Records an answer, `shortest` being the shortest response time of the latest answers. Until a server
    /// has answered with free places, its time is the least of these. Returns the server's time.
    pub(crate) fn record(
        &mut self,
        instance: &InstanceId,
        elapsed: Duration,
        shortest: Duration,
        has_free_places: bool,
    ) -> Duration {
        if self.times.len() >= MAX_SERVERS && !self.times.contains_key(instance) {
            self.times.clear();
        }
        let new = UnloadedTime {
            time: elapsed,
            is_confirmed: has_free_places,
        };
        let known = self.times.entry(instance.clone()).or_insert(new);
        if has_free_places && known.is_confirmed {
            known.time = known.time.mul_f64(1.0 - MEAN_WEIGHT) + elapsed.mul_f64(MEAN_WEIGHT);
        } else if has_free_places {
            *known = new;
        } else if !known.is_confirmed {
            known.time = known.time.min(shortest);
        }
        known.time
    }

    /// Records that a server had no room while calls took `mean`.
    pub(crate) fn record_rejection(&mut self, mean: Duration) {
        let unconfirmed = self.times.values_mut().filter(|known| !known.is_confirmed);
        for known in unconfirmed {
            known.time = known.time.min(mean / FULL_SERVER_DIVISOR);
        }
    }
}
