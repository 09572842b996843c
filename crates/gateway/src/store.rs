//! Calls of the platform's store, and the keys of the gateways there.

pub(crate) mod config_change;
pub(crate) mod membership;
pub(crate) mod planner_lease;
pub(crate) mod store_call;
pub(crate) mod store_era;
pub(crate) mod store_watch;
pub(crate) mod unreadable_entries;
pub(crate) mod unreadable_report;
