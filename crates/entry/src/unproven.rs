//! Requests that run and have shown no token yet, with where they run.

use std::collections::BTreeMap;

use units::{
    FingerprintId,
    InstanceId, //
};

/// Where requests run that may still turn out to crash their backend server.
#[derive(Debug, Default)]
pub(crate) struct UnprovenTable {
    places: BTreeMap<FingerprintId, (InstanceId, usize)>,
}

impl UnprovenTable {
    /// Where a request runs unproven, if it does.
    pub(crate) fn place(&self, fingerprint: FingerprintId) -> Option<InstanceId> {
        let (instance, _) = self.places.get(&fingerprint)?;
        Some(instance.clone())
    }

    /// Notes that an attempt begins.
    pub(crate) fn begin(&mut self, fingerprint: FingerprintId, instance: &InstanceId) {
        let fresh = || (instance.clone(), 0);
        let (_, count) = self.places.entry(fingerprint).or_insert_with(fresh);
        *count += 1;
    }

    /// Notes that an attempt has shown a token or ended.
    pub(crate) fn end(&mut self, fingerprint: FingerprintId) {
        let Some((_, count)) = self.places.get_mut(&fingerprint) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.places.remove(&fingerprint);
        }
    }
}
