//! A whole cluster in one process on loopback: stand-ins, side processes and entries.

mod cluster;
mod options;
mod sample;

pub use cluster::DemoCluster;
pub use cluster::SideProcess;
pub use options::ClusterOptions;
pub use sample::sample_config;
