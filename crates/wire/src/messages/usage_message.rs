//! Datagrams by which gateways tell what accounts have used.

/// Requests of one account that began to run in one window.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AccountCount {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of requests since the start of the window.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// Counts of one window.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WindowCounts {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Counts that may be new to the receiver.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<AccountCount>,
}

/// Counts that have changed since what the receiver has.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UsageCounts {
    /// When the sender began to count, in milliseconds of true time since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub since_ms: u64,
    /// Up to when it has counted.
    #[prost(uint64, tag = "2")]
    pub until_ms: u64,
    /// Number of the latest change that the receiver has, as far as the sender knows.
    #[prost(uint64, tag = "3")]
    pub base: u64,
    /// Number of the latest change that it has with these.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Whether no further counts have changed.
    #[prost(bool, tag = "5")]
    pub is_whole: bool,
    /// The counts.
    #[prost(message, repeated, tag = "6")]
    pub windows: Vec<WindowCounts>,
}

/// Says which changes a receiver has.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UsageReceipt {
    /// Run of the gateway that counted.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the latest change that is known with all before it.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Counts or a receipt, sent as one datagram. The tags are none of the other messages that come to the same
/// address.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct UsageMessage {
    /// Instance id of the sending gateway.
    #[prost(string, tag = "32")]
    pub instance: String,
    /// Run of the sending gateway.
    #[prost(fixed64, tag = "33")]
    pub incarnation: u64,
    /// Time of day of the sender, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "34")]
    pub unix_ms: u64,
    /// Counts of the sender.
    #[prost(message, optional, tag = "35")]
    pub counts: Option<UsageCounts>,
    /// What the sender has of the receiver's counts.
    #[prost(message, optional, tag = "36")]
    pub receipt: Option<UsageReceipt>,
}
