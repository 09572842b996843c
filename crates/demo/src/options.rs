//! Size and settings of a demonstration cluster.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use conf::EntryLimits;
use policy::EngineProfile;

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Data centres.
    pub data_centres: usize,
    /// Model engines in each data centre.
    pub engines: usize,
    /// Engines of each data centre that start with the prefill role.
    pub prefill_engines: usize,
    /// Plain services in each data centre.
    pub services: usize,
    /// Entries.
    pub entries: usize,
    /// Address of the first entry; the others let the kernel pick their ports.
    pub listen: SocketAddr,
    /// Memory and step times of the engines.
    pub profile: EngineProfile,
    /// Whether the engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Lag of the platform's list.
    pub list_delay: Duration,
    /// Links of an entry in each data centre.
    pub sides_per_data_centre: u32,
    /// Bounds on callers.
    pub limits: EntryLimits,
    /// Whether entries reach side processes through relays that can go silent.
    pub relays: bool,
    /// Directory for log files; no logs when absent.
    pub log_dir: Option<PathBuf>,
    /// Whether logs are kept in memory.
    pub log_in_memory: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            data_centres: 3,
            engines: 7,
            prefill_engines: 0,
            services: 1,
            entries: 2,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            profile: EngineProfile::default(),
            checks_fencing: true,
            list_delay: Duration::ZERO,
            sides_per_data_centre: 32,
            limits: EntryLimits::default(),
            relays: false,
            log_dir: None,
            log_in_memory: false,
        }
    }
}
