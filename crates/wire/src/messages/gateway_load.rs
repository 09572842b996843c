//! Datagrams in which gateways report their in-flight load to each other.

/// In-flight load of one gateway on one backend server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ServerLoad {
    /// Hash of the backend server's instance id.
    #[prost(fixed32, tag = "1")]
    pub backend: u32,
    /// Number of in-flight requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens awaiting prefill, one sum for each queue position from first to last.
    #[prost(uint32, repeated, tag = "3")]
    pub prompt_tokens: Vec<u32>,
    /// Number of tokens in KV cache memory.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

/// Request that was running on a backend server when it crashed.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CrashSuspect {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Id of the crash.
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
}

/// Load of one gateway on all backend servers, sent as one datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GatewayLoad {
    /// Instance id of the gateway.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the gateway.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number within the incarnation; a message that arrives after a later one is dropped.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Load on each backend server that has in-flight requests of the gateway.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<ServerLoad>,
    /// Requests that were running during recent crashes.
    #[prost(message, repeated, tag = "5")]
    pub crashes: Vec<CrashSuspect>,
}
