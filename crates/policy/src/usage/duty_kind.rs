//! What one gateway does for all towards the platform.

/// Kind of a duty that the platform may ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyKind {
    /// Reports the usage of each window.
    UsageReport,
    /// Orders the number of servers of a service.
    ServerCount,
}

impl DutyKind {
    /// Returns whether gateways carry the duty out.
    pub fn is_carried_out(self) -> bool {
        self == Self::UsageReport
    }
}
