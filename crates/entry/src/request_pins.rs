//! Requests that run and have shown no token yet, with where they run.

use std::collections::BTreeMap;

use units::{
    FingerprintId,
    InstanceId, //
};

/// Where requests run that may still turn out to crash their backend server.
#[derive(Debug, Default)]
pub(crate) struct RequestPins {
    pins: BTreeMap<FingerprintId, (InstanceId, usize)>,
}

impl RequestPins {
    /// Where a request runs unproven, if it does.
    pub(crate) fn pinned_instance(&self, fingerprint: FingerprintId) -> Option<InstanceId> {
        let (instance, _) = self.pins.get(&fingerprint)?;
        Some(instance.clone())
    }

    /// Notes that an attempt begins.
    pub(crate) fn add_attempt(&mut self, fingerprint: FingerprintId, instance: &InstanceId) {
        let new_pin = || (instance.clone(), 0);
        let (_, count) = self.pins.entry(fingerprint).or_insert_with(new_pin);
        *count += 1;
    }

    /// Notes that an attempt has shown a token or ended.
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
