//! The process beside a backend server: the only way to it, with its queue, limits and orders.

mod call;
mod clock;
mod crash;
mod daemon;
mod dispatch;
mod engine_client;
mod engine_watch;
mod error;
mod heartbeat;
mod job;
mod job_run;
mod link;
mod metrics;
mod operations;
mod order;
mod sse;
mod state;

pub use daemon::SideDaemon;
pub use error::SideError;
