//! Engines that last received each prompt prefix and so probably have the prefix cached.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use units::InstanceId;

/// Maximum number of prompt prefixes; the one recorded first is evicted first.
const MAX_PREFIXES: usize = 4_096;

/// Engine that last received each prompt prefix, by the hash of the prefix.
#[derive(Debug, Default)]
pub(crate) struct PrefixLocations {
    locations: BTreeMap<u64, InstanceId>,
    insertion_order: VecDeque<u64>,
}

impl PrefixLocations {
    /// Returns the engine that last received a prompt prefix.
    pub(crate) fn get(&self, prefix: u64) -> Option<&InstanceId> {
        self.locations.get(&prefix)
    }

    /// Records that a prompt prefix was sent to an engine.
    pub(crate) fn record(&mut self, prefix: u64, instance: &InstanceId) {
        if self.locations.insert(prefix, instance.clone()).is_none() {
            self.insertion_order.push_back(prefix);
        }
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.locations.remove(&oldest);
        }
    }
}
