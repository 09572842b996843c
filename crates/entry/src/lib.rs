//! The entry daemon: takes callers' requests and answers each of them whole, once, or with a
//! refusal that is true.

mod accounts;
mod attempt_table;
mod call_outcome;
mod caller_failure;
mod claims;
mod completion;
mod completion_api;
mod completion_job;
mod completion_response;
mod config;
mod daemon;
mod driver;
mod driver_attempt;
mod error;
mod error_response;
mod http;
mod link;
mod metrics;
mod planner;
mod request_pins;
mod service_call;
mod side_call;
mod side_links;
mod state;

pub use daemon::EntryDaemon;
pub use error::EntryError;
