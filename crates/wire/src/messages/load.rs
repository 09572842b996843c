//! Signs of life, with load and descriptions.

/// Load of a backend server, sent often and so kept small.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadStatus {
    /// Seconds until a new request would start, by rank.
    #[prost(float, repeated, tag = "1")]
    pub wait_seconds: Vec<f32>,
    /// Work of running streams in seconds.
    #[prost(float, tag = "2")]
    pub running_seconds: f32,
    /// Running streams.
    #[prost(uint32, tag = "3")]
    pub running_streams: u32,
    /// KV pieces in use.
    #[prost(uint32, tag = "4")]
    pub used_pieces: u32,
    /// Whether new work is taken.
    #[prost(bool, tag = "5")]
    pub accepting: bool,
    /// Time of the side's own clock, in milliseconds since its start.
    #[prost(uint64, tag = "6")]
    pub clock_ms: u64,
    /// Prefill work asked for since the start, in seconds.
    #[prost(double, tag = "7")]
    pub prefill_total_seconds: f64,
    /// Decode work asked for since the start, in seconds.
    #[prost(double, tag = "8")]
    pub decode_total_seconds: f64,
    /// Whether the engine is changing its role.
    #[prost(bool, tag = "9")]
    pub changing_role: bool,
}

/// What a backend server is, sent at the start of a link and when it changes.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct BackendDescription {
    /// Role of the engine.
    #[prost(string, tag = "1")]
    pub role: String,
    /// Models loaded.
    #[prost(string, repeated, tag = "2")]
    pub models: Vec<String>,
    /// Name of the plain service, empty for a model engine.
    #[prost(string, tag = "3")]
    pub service: String,
    /// KV pieces in all.
    #[prost(uint32, tag = "4")]
    pub pieces: u32,
    /// Tokens in a piece.
    #[prost(uint32, tag = "5")]
    pub piece_tokens: u32,
    /// Seconds of engine time for each prompt token.
    #[prost(double, tag = "6")]
    pub prefill_seconds: f64,
    /// Seconds of engine time for each output token.
    #[prost(double, tag = "7")]
    pub decode_seconds: f64,
    /// Seconds that a change of role takes the engine away.
    #[prost(double, tag = "8")]
    pub role_change_seconds: f64,
}

/// Sign of life, in both directions.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Heartbeat {
    /// Highest configuration version seen.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Load, from sides only.
    #[prost(message, optional, tag = "2")]
    pub load: Option<LoadStatus>,
    /// What the backend server is, where it differs from what was sent before on this link.
    #[prost(message, optional, tag = "3")]
    pub backend: Option<BackendDescription>,
}
