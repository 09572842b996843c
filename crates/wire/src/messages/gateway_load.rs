//! Datagrams in which gateways report their in-flight load to each other.

use super::LimitReport;

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

/// Presumed crash of a backend server.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CrashReport {
    /// Id of the crash.
    #[prost(fixed64, tag = "1")]
    pub crash: u64,
    /// Instance id of the backend server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Incarnation of the backend server, if it publishes one.
    #[prost(fixed64, optional, tag = "3")]
    pub incarnation: Option<u64>,
    /// Time since the crash in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// What is known about the process since.
    #[prost(enumeration = "CrashStateCode", tag = "5")]
    pub state: i32,
}

/// What is known about the process of a presumed crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum CrashStateCode {
    /// The process has not been observed since.
    Presumed = 0,
    /// The process is gone.
    Confirmed = 1,
    /// The process has answered since.
    Outlived = 2,
}

/// Evidence for and against a request that may crash backend servers.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Crashes of backend servers on which the request was running.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashReport>,
    /// Time since a backend server completed the request, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    pub completed_age_ms: Option<u64>,
    /// Number of runs allowed after the crash limit was reached.
    #[prost(uint32, tag = "4")]
    pub trials: u32,
    /// Time since the latest of these runs, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub trial_age_ms: Option<u64>,
}

/// Evidence for and against a segment of prompts, shared or a session's own, that may crash backend
/// servers.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SegmentReport {
    /// Id of the segment.
    #[prost(fixed64, tag = "1")]
    pub segment: u64,
    /// The evidence, without a fingerprint.
    #[prost(message, optional, tag = "2")]
    pub evidence: Option<SuspectReport>,
}

/// Process of a backend server that has said that it leaves.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LeavingServer {
    /// Instance id of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process in milliseconds since the Unix epoch, if it publishes it.
    #[prost(fixed64, optional, tag = "2")]
    pub started_unix_ms: Option<u64>,
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
    /// Latest evidence on requests that may crash backend servers. Tag 5 held an earlier form.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<SuspectReport>,
    /// Latest evidence on shared segments of prompts that may crash backend servers.
    #[prost(message, repeated, tag = "7")]
    pub segments: Vec<SegmentReport>,
    /// Latest evidence on sessions' own segments that may crash backend servers.
    #[prost(message, repeated, tag = "8")]
    pub sessions: Vec<SegmentReport>,
    /// Limits that backend servers have named.
    #[prost(message, repeated, tag = "9")]
    pub limits: Vec<LimitReport>,
    /// Backend servers that have said that they leave.
    #[prost(message, repeated, tag = "10")]
    pub leaving: Vec<LeavingServer>,
}
