//! Gateway daemon, which forwards callers' requests directly to backend servers.
//!
//! Each request gets one complete answer or an error that states correctly whether the request was
//! processed.

mod call;
mod daemon;
mod error;
mod generation;
mod handle;
mod latency;
mod load_exchange;
mod membership;
mod metrics;
mod open_work;
mod outcome;
mod overview;
mod plain;
mod pump;
mod readiness;
mod reply;
mod send;
mod serve;
mod shared;
mod stages;
mod store_watch;
mod suspicion;

pub use daemon::GatewayDaemon;
pub use error::GatewayError;
pub use overview::FleetOverview;
pub use overview::ServiceCount;
