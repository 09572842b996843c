//! Remembers where the prefixes of prompts were sent, and so are likely to be cached.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use units::InstanceId;

/// Prefixes remembered at most; the oldest is forgotten first.
const PREFIX_LIMIT: usize = 4_096;

/// Where each prefix was sent last.
#[derive(Debug, Default)]
pub(crate) struct PrefixMemory {
    places: BTreeMap<u64, InstanceId>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    /// Where a prefix was sent last.
    pub(crate) fn place(&self, prefix: u64) -> Option<&InstanceId> {
        self.places.get(&prefix)
    }

    /// Notes that a prefix was sent somewhere.
    pub(crate) fn remember(&mut self, prefix: u64, instance: &InstanceId) {
        if self.places.insert(prefix, instance.clone()).is_none() {
            self.order.push_back(prefix);
        }
        if self.order.len() > PREFIX_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.places.remove(&oldest);
        }
    }
}
