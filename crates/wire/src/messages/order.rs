//! Orders to engines, and leaving.

/// Order to change an engine's role.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RoleOrder {
    /// Number of the order on its planner.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Epoch of the planner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Incarnation of the side that the order is for.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Stamp of the side, received before the renewal that covers this order.
    #[prost(uint64, tag = "4")]
    pub clock_ms: u64,
    /// Role wanted.
    #[prost(string, tag = "5")]
    pub role: String,
}

/// What became of an order.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct OrderVerdict {
    /// Number of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Whether it was accepted.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// Why not.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Says that the sender leaves and takes no new work.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LeaveNotice {
    /// Whether it leaves; false calls the leave off.
    #[prost(bool, tag = "1")]
    pub leaving: bool,
}
