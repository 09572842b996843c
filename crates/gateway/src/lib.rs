//! The gateway daemon: an entry that forwards requests straight to backend servers and answers each
//! of them whole, once, or with a refusal that is true.

mod attempt;
mod crash_suspects;
mod daemon;
mod error;
mod exchange;
mod follow;
mod forward;
mod generation;
mod in_flight;
mod kv_cache;
mod latency;
mod members;
mod metrics;
mod overview;
mod plain;
mod readiness;
mod request;
mod request_error;
mod send;
mod serve;
mod shared;
mod stages;

pub use daemon::GatewayDaemon;
pub use error::GatewayError;
pub use overview::FleetOverview;
pub use overview::ServiceCount;
