//! Runs a complete cluster in one process on loopback: fake backend servers, side processes and
//! entries.

mod cluster;
mod options;
mod sample;

pub use cluster::DemoCluster;
pub use cluster::SideProcess;
pub use options::ClusterOptions;
pub use sample::sample_config;
