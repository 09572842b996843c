//! Orders to change engine roles, and drain notices.

/// Order of a planner to change an engine's role.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RoleOrder {
    /// Number of the order, assigned by the planner.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Epoch of the planner, by which orders of earlier lease holders are refused.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Incarnation of the side process to which the order is addressed.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Clock time of the side process, received before the lease renewal that covers the order.
    #[prost(uint64, tag = "4")]
    pub clock_ms: u64,
    /// New role of the engine.
    #[prost(string, tag = "5")]
    pub role: String,
}

/// Acceptance or refusal of an order.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct OrderVerdict {
    /// Number of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Whether the order was accepted.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// Reason for a refusal, empty for an accepted order.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Announces that the sender drains and accepts no new requests.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LeaveNotice {
    /// Whether the sender drains; false cancels an earlier notice.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
}
