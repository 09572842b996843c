//! Heartbeats, which carry load and descriptions of backend servers.

/// Load of a backend server; the message is kept small because it is sent often.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadStatus {
    /// Seconds until a new request would start, for each rank.
    #[prost(float, repeated, tag = "1")]
    pub wait_seconds: Vec<f32>,
    /// Remaining decode work of the running streams, in seconds of engine time.
    #[prost(float, tag = "2")]
    pub running_seconds: f32,
    /// Number of running streams.
    #[prost(uint32, tag = "3")]
    pub running_streams: u32,
    /// Number of KV cache pieces in use or reserved.
    #[prost(uint32, tag = "4")]
    pub used_pieces: u32,
    /// Whether the backend server accepts new requests.
    #[prost(bool, tag = "5")]
    pub accepting: bool,
    /// Time of the side process's clock, in milliseconds since its start.
    #[prost(uint64, tag = "6")]
    pub clock_ms: u64,
    /// Prefill work requested since the start of the side process, refused requests included, in
    /// seconds of engine time.
    #[prost(double, tag = "7")]
    pub prefill_total_seconds: f64,
    /// Decode work requested since the start of the side process, refused requests included, in
    /// seconds of engine time.
    #[prost(double, tag = "8")]
    pub decode_total_seconds: f64,
    /// Whether the engine is changing its role.
    #[prost(bool, tag = "9")]
    pub changing_role: bool,
}

/// Description of a backend server, sent at the start of a link and after changes.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct BackendDescription {
    /// Role of the engine.
    #[prost(string, tag = "1")]
    pub role: String,
    /// Names of the loaded models.
    #[prost(string, repeated, tag = "2")]
    pub models: Vec<String>,
    /// Name of the plain service, empty for a model engine.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Total number of KV cache pieces.
    #[prost(uint32, tag = "4")]
    pub pieces: u32,
    /// Number of tokens that fit in a KV cache piece.
    #[prost(uint32, tag = "5")]
    pub piece_tokens: u32,
    /// Seconds of engine time to prefill one token.
    #[prost(double, tag = "6")]
    pub prefill_seconds: f64,
    /// Seconds of engine time to decode one token.
    #[prost(double, tag = "7")]
    pub decode_seconds: f64,
    /// Seconds for which a role change makes the engine unavailable.
    #[prost(double, tag = "8")]
    pub role_change_seconds: f64,
}

/// Heartbeat, sent in both directions of a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Heartbeat {
    /// Version of the sender's configuration.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Load of the backend server, absent in heartbeats from entries.
    #[prost(message, optional, tag = "2")]
    pub load: Option<LoadStatus>,
    /// Description of the backend server, present if it changed since it was last sent on the link.
    #[prost(message, optional, tag = "3")]
    pub backend: Option<BackendDescription>,
}
