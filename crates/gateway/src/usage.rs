//! Usage of accounts: what this gateway counts, what gateways tell each other, and the reports.

pub(crate) mod usage_exchange;
pub(crate) mod usage_reports;
pub(crate) mod usage_state;
