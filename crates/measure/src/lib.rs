//! Experiments that drive the decision code against the engine model in virtual time.

mod capacity;
mod engine;
mod error;
mod event;
mod figures;
mod job;
mod oracle;
mod plan;
mod plot;
mod scenario;
mod sim;
mod sim_fault;
mod sim_route;
mod sim_step;
mod site;
mod table;
mod workload;

pub use capacity::CapacityCurve;
pub use error::MeasureError;
pub use figures::RankFigures;
pub use figures::RunFigures;
pub use oracle::oracle_figures;
pub use plan::PolicyPlan;
pub use plot::draw_goodput;
pub use scenario::Scenario;
pub use sim::run_plan;
pub use site::SiteModel;
pub use table::format_figures;
pub use workload::Workload;
pub use workload::make_workload;
