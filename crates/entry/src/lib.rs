//! The entry daemon accepts callers' requests over HTTP and runs them on backend servers.
//!
//! An entry keeps links to the side processes that run beside the backend servers. It retries and
//! resumes completions on other engines, so that every caller receives one complete answer or an
//! error that states whether any of the request may have run.

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
