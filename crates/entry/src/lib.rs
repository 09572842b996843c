//! The entry daemon: takes callers' requests and answers each of them whole, once, or with a
//! refusal that is true.

mod accounts;
mod api;
mod attempt;
mod calls;
mod claims;
mod completion;
mod config;
mod daemon;
mod drive;
mod error;
mod failure;
mod follow;
mod http;
mod link;
mod members;
mod metrics;
mod planner;
mod reply;
mod state;
mod stream;
mod tickets;
mod unproven;
mod verdicts;
mod work;

pub use daemon::EntryDaemon;
pub use error::EntryError;
