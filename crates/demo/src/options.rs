//! Size and settings of a demo cluster.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use conf::EntryLimits;
use policy::EngineProfile;

/// Size and settings of a [`DemoCluster`](crate::DemoCluster).
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of engines in each data centre.
    pub engines: usize,
    /// Number of engines in each data centre that start with the prefill role.
    pub prefill_engines: usize,
    /// Number of plain services in each data centre.
    pub services: usize,
    /// Number of entries.
    pub entries: usize,
    /// Address of the first entry; the kernel assigns the ports of the others.
    pub listen: SocketAddr,
    /// KV cache memory and step times of the engines.
    pub profile: EngineProfile,
    /// Whether the engines refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Delay before a change appears in the platform's instance list.
    pub list_delay: Duration,
    /// Number of side processes in each data centre that an entry links to.
    pub sides_per_data_centre: u32,
    /// Limits on callers' connections and requests.
    pub limits: EntryLimits,
    /// Whether entries connect to side processes through relays that can stop forwarding.
    pub relays: bool,
    /// Directory for the log files; `None` writes none.
    pub log_dir: Option<PathBuf>,
    /// Whether logs are kept in memory when `log_dir` is `None`.
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
