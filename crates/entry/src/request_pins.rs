//! Pins of requests whose attempts have not produced a token yet.

use std::collections::BTreeMap;

use units::{
    FingerprintId,
    InstanceId, //
};

/// Instances on which requests run that have not produced a token yet.
///
/// Such a request may still crash its engine. Identical requests are sent to the same instance, so
/// that they crash one engine at most.
#[derive(Debug, Default)]
pub(crate) struct RequestPins {
    pins: BTreeMap<FingerprintId, (InstanceId, usize)>,
}

impl RequestPins {
    /// Returns the instance that a request is pinned to.
    pub(crate) fn pinned_instance(&self, fingerprint: FingerprintId) -> Option<InstanceId> {
        let (instance, _) = self.pins.get(&fingerprint)?;
        Some(instance.clone())
    }

    /// Records the start of an attempt, which pins the request unless it is pinned already.
    pub(crate) fn add_attempt(&mut self, fingerprint: FingerprintId, instance: &InstanceId) {
        let new_pin = || (instance.clone(), 0);
        let (_, count) = self.pins.entry(fingerprint).or_insert_with(new_pin);
        *count += 1;
    }

    /// Records that an attempt produced its first token or ended.
    pub(crate) fn remove_attempt(&mut self, fingerprint: FingerprintId) {
        let Some((_, count)) = self.pins.get_mut(&fingerprint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.pins.remove(&fingerprint);
        }
    }
}
