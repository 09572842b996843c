//! The gateway daemon: an entry that forwards requests straight to backend servers and answers each
//! of them whole, once, or with a refusal that is true.

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
