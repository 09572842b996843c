//! Keys under which the system keeps what must last.

use std::fmt;

use units::DataCentre;

/// A key in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreKey(String);

impl StoreKey {
    /// The operators' configuration.
    pub fn config() -> Self {
        Self("galenarail/config".into())
    }

    /// The planner lease of a data centre.
    pub fn planner(centre: &DataCentre) -> Self {
        Self(format!("galenarail/planner/{centre}"))
    }

    /// One shard of the claims on callers' keys.
    pub fn claims(shard: u32) -> Self {
        Self(format!("galenarail/claims/{shard}"))
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
