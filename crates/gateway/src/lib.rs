//! Gateway daemon, which forwards callers' requests directly to backend servers.
//!
//! Each request gets one complete answer or an error that states correctly whether the request was
//! processed.

mod accounts;
mod attempt;
mod clock;
mod daemon;
mod drain;
mod error;
mod latency;
mod load_exchange;
mod loading;
mod metrics;
mod overview;
mod plain;
mod readiness;
mod request;
mod request_error;
mod send;
mod serve;
mod servers;
mod shared;
mod store;
mod streams;
mod suspects;
mod tokens;
mod usage;
mod versions;

pub use daemon::GatewayDaemon;
pub use error::GatewayError;
pub use overview::FleetOverview;
pub use overview::ServiceCount;
