//! Reports whose counts are fixed for all gateways, as kept in the store.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use units::{
    StoreEra,
    UsageWindow, //
};

use crate::AccountUsage;

/// Content of the store's key of usage reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FixedReports {
    /// Era of the store in which this was written. In a later era it may be an earlier copy.
    pub era: Option<StoreEra>,
    /// Latest window that is fixed. No window up to this one is ever fixed again.
    pub newest: Option<UsageWindow>,
    /// Counts of the windows that are not known to be reported yet.
    pub reports: BTreeMap<UsageWindow, AccountUsage>,
}
