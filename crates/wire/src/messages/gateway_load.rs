//! What gateways tell each other about the load that they have sent.

/// Load that one gateway has at one backend server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct BackendLoad {
    /// Hash of the backend server's instance.
    #[prost(fixed32, tag = "1")]
    pub backend: u32,
    /// Requests that run.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens still to be read, by the order in which they are.
    #[prost(uint32, repeated, tag = "3")]
    pub prompt_tokens: Vec<u32>,
    /// Tokens held in the KV memory.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

/// A request that was running where a backend server crashed.
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

/// One gateway's load, sent in a datagram.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GatewayLoad {
    /// Instance of the gateway.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Run of the gateway.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the message in this run; an older one that comes later is dropped.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Backend servers with load of this gateway.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<BackendLoad>,
    /// Latest crashes with the requests that ran there.
    #[prost(message, repeated, tag = "5")]
    pub crashes: Vec<CrashSuspect>,
}
