//! Simulator that runs routing, scheduling and role policies against an engine model in virtual
//! time.

mod capacity;
mod error;
mod event_queue;
mod metrics;
mod oracle;
mod plot;
mod policy_spec;
mod scenario;
mod sim_engine;
mod sim_job;
mod simulation;
mod simulation_faults;
mod simulation_routing;
mod simulation_steps;
mod site;
mod table;
mod workload;

pub use capacity::CapacityCurve;
pub use error::MeasureError;
pub use metrics::RankMetrics;
pub use metrics::RunMetrics;
pub use oracle::oracle_metrics;
pub use plot::draw_goodput;
pub use policy_spec::PolicySpec;
pub use scenario::Scenario;
pub use simulation::run_policy;
pub use site::SiteModel;
pub use table::format_metrics;
pub use workload::Workload;
pub use workload::generate_workload;
