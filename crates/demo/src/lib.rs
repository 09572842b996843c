//! A whole site in one process on loopback: stand-ins, side processes and entries.

mod options;
mod sample;
mod site;

pub use options::SiteOptions;
pub use sample::sample_config;
pub use site::DemoSite;
pub use site::SideNode;
