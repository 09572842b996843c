//! Usage of accounts by windows of true time, and the reports of it that one gateway sends for all.
//!
//! Every gateway counts the requests that began to run and tells a few others. The holder of the planner
//! lease fixes the counts of a window in the store and then reports them.

mod duty_kind;
mod fixed_reports;
mod report_planner;
mod true_clock;
mod usage_collector;
mod usage_counter;

use std::collections::BTreeMap;

use units::AccountName;

pub use duty_kind::DutyKind;
pub use fixed_reports::FixedReports;
pub use report_planner::{
    ReportPlanner,
    ReportRules,
    ReportStep,
    ReportView, //
};
pub use true_clock::{
    TrueClock,
    TrueTime, //
};
pub use usage_collector::{
    UsageCollector,
    UsageSource, //
};
pub use usage_counter::{
    UsageChanges,
    UsageCounter,
    UsageEntry, //
};

/// Number of requests of each account that began to run in one window.
pub type AccountUsage = BTreeMap<AccountName, u64>;
