//! Datagrams by which gateways share the requests that limited backend servers take.

/// Limit of one process of a backend server, as far as it is known.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LimitReport {
    /// Instance id of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process in milliseconds since the Unix epoch, if it publishes it.
    #[prost(fixed64, optional, tag = "2")]
    pub started_unix_ms: Option<u64>,
    /// Requests per second; absent if the server names no limit any more.
    #[prost(double, optional, tag = "3")]
    pub per_second: Option<f64>,
    /// Time since the request was sent whose answer showed it, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub asked_age_ms: u64,
    /// Time since the head of that answer arrived, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub answered_age_ms: u64,
}

/// Requests of one rank that wait for a token.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct WaitingCount {
    /// Rank; the most urgent is 0.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Time for which the first of them has waited, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub waited_ms: u64,
}

/// Requests that a gateway might send to a limited backend server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TokenDemand {
    /// Instance id of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process in milliseconds since the Unix epoch, if it publishes it.
    #[prost(fixed64, optional, tag = "2")]
    pub started_unix_ms: Option<u64>,
    /// Requests per second.
    #[prost(float, tag = "3")]
    pub per_second: f32,
    /// Time for which the demand holds, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub valid_ms: u32,
    /// Requests that wait for a token, by rank.
    #[prost(message, repeated, tag = "5")]
    pub waiting: Vec<WaitingCount>,
    /// Time for which these hold, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub waiting_valid_ms: u32,
    /// Number of tokens of the receiver that come back, since no request waits for them any more.
    #[prost(uint32, tag = "7")]
    pub returned: u32,
    /// Whether the receiver is to say how many requests wait for its tokens.
    #[prost(bool, tag = "8")]
    pub asks: bool,
}

/// Tokens issued to a gateway, each for one request to a limited backend server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TokenIssue {
    /// Instance id of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process in milliseconds since the Unix epoch, if it publishes it.
    #[prost(fixed64, optional, tag = "2")]
    pub started_unix_ms: Option<u64>,
    /// Number of tokens.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Number of those that come back unless a request waits for them.
    #[prost(uint32, tag = "4")]
    pub for_waiting: u32,
    /// Requests of all gateways that wait for tokens of the sender, by rank.
    #[prost(message, repeated, tag = "5")]
    pub waiting: Vec<WaitingCount>,
    /// Tokens that the sender has saved; absent if it says nothing of what waits.
    #[prost(double, optional, tag = "6")]
    pub credit: Option<f64>,
}

/// Demand for tokens and issued tokens, sent as one datagram. The tags are none of a load report's,
/// which comes to the same address.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TokenMessage {
    /// Instance id of the sending gateway.
    #[prost(string, tag = "16")]
    pub instance: String,
    /// Incarnation of the gateway.
    #[prost(fixed64, tag = "17")]
    pub incarnation: u64,
    /// Sequence number within the incarnation; a message that arrives after a later one is dropped.
    #[prost(uint64, tag = "18")]
    pub number: u64,
    /// Demand of the sender.
    #[prost(message, repeated, tag = "19")]
    pub demands: Vec<TokenDemand>,
    /// Tokens for the receiver.
    #[prost(message, repeated, tag = "20")]
    pub issues: Vec<TokenIssue>,
}
