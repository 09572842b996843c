//! Remembers where the prefixes of prompts were sent, and so are likely to be cached.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use units::InstanceId;

/// Prefixes remembered at most; the oldest is forgotten first.
const MAX_PREFIXES: usize = 4_096;

/// Where each prefix was sent last.
#[derive(Debug, Default)]
pub(crate) struct PrefixLocations {
    locations: BTreeMap<u64, InstanceId>,
    insertion_order: VecDeque<u64>,
}

impl PrefixLocations {
    /// Where a prefix was sent last.
    pub(crate) fn get(&self, prefix: u64) -> Option<&InstanceId> {
        self.locations.get(&prefix)
    }

    /// Notes that a prefix was sent somewhere.
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
