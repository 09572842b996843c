//! Limits that differ between the processes which keep a registry.

/// Limits of a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectLimits {
    /// Number of crashes after which a request is quarantined.
    pub crash_limit: usize,
    /// Whether a request with fewer crashes must run in isolation.
    pub isolates: bool,
}

impl SuspectLimits {
    /// Limits of processes that can keep other requests off an engine while a suspect runs on it.
    pub const ISOLATING: Self = Self {
        crash_limit: 2,
        isolates: true,
    };
    /// Limits of processes that cannot. A crash fails all requests on a server, so that one or two
    /// crashes are weak evidence against each of them.
    pub const SHARING: Self = Self {
        crash_limit: 3,
        isolates: false,
    };
}
