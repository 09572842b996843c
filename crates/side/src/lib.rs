//! Process that runs beside one backend server and through which all its requests pass.
//!
//! The side process queues and schedules requests, and carries out the planner's role changes.

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
