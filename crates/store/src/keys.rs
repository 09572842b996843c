//! Keys of the data persisted in the store.

use std::fmt;

use units::DataCentre;

/// Key in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreKey(String);

impl StoreKey {
    /// Returns the key of the operators' configuration.
    pub fn config() -> Self {
        Self("galenarail/config".into())
    }

    /// Returns the key of a data centre's planner lease.
    pub fn planner(centre: &DataCentre) -> Self {
        Self(format!("galenarail/planner/{centre}"))
    }

    /// Returns the key of one shard of the claims on callers' idempotency keys.
    pub fn claims(shard: u32) -> Self {
        Self(format!("galenarail/claims/{shard}"))
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
