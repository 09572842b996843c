//! Messages that frames carry.

use bytes::Bytes;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum FinishCode {
    /// Never sent; the zero value of the encoding.
    Unset = 0,
    /// The model ended its answer.
    Stop = 1,
    /// The answer reached the caller's limit of tokens.
    Length = 2,
    /// The prompt is computed; the answer goes on at an engine that generates.
    Handoff = 3,
    /// The engine ended the stream early; the answer goes on elsewhere.
    Interrupted = 4,
    /// The engine crashed while the attempt ran.
    Crashed = 5,
}

/// What became of a call or an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum VerdictCode {
    /// Never sent; the zero value of the encoding.
    Unset = 0,
    /// It ran, now or earlier, and this is its outcome.
    Done = 1,
    /// It was not run, and this ticket will never run it.
    NotRun = 2,
    /// Whether it ran can't be known.
    Unknown = 3,
    /// The signature or the binding of its ticket is wrong; nothing was done.
    Forged = 4,
}

/// Load of a backend server, sent often and so kept small.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct LoadStatus {
    /// Seconds until a new request would start, by rank.
    #[prost(float, repeated, tag = "1")]
    pub wait: Vec<f32>,
    /// Work of running streams in seconds.
    #[prost(float, tag = "2")]
    pub running: f32,
    /// Running streams.
    #[prost(uint32, tag = "3")]
    pub streams: u32,
    /// KV pieces in use.
    #[prost(uint32, tag = "4")]
    pub used: u32,
    /// Whether new work is taken.
    #[prost(bool, tag = "5")]
    pub accepting: bool,
    /// Time of the side's own clock, in milliseconds since its start.
    #[prost(uint64, tag = "6")]
    pub stamp_ms: u64,
    /// Prefill work asked for since the start, in seconds.
    #[prost(double, tag = "7")]
    pub prefill_total: f64,
    /// Decode work asked for since the start, in seconds.
    #[prost(double, tag = "8")]
    pub decode_total: f64,
    /// Whether the engine is changing its role.
    #[prost(bool, tag = "9")]
    pub changing: bool,
}

/// What a backend server is, sent at the start of a link and when it changes.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct BackendStatus {
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
    pub backend: Option<BackendStatus>,
}

/// Work for a model engine.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RunRequest {
    /// Attempt, unique on this entry.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Request id, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Class of work.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Rank, 0 for the most urgent.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Model.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Prompt.
    #[prost(bytes = "bytes", tag = "6")]
    pub prompt: Bytes,
    /// What was handed out already.
    #[prost(bytes = "bytes", tag = "7")]
    pub prior: Bytes,
    /// Tokens handed out already.
    #[prost(uint32, tag = "8")]
    pub offset: u32,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "9")]
    pub prompt_tokens: u32,
    /// Most tokens of the whole answer.
    #[prost(uint32, tag = "10")]
    pub max_tokens: u32,
    /// Milliseconds until the first token is due.
    #[prost(uint32, tag = "11")]
    pub start_ms: u32,
    /// Fingerprint of class and body.
    #[prost(uint64, tag = "12")]
    pub fingerprint: u64,
    /// Handle of a KV cache to import, empty for none.
    #[prost(string, tag = "13")]
    pub kv_handle: String,
    /// Whether it must run alone, as a suspect.
    #[prost(bool, tag = "14")]
    pub alone: bool,
    /// Target of the time between tokens, in milliseconds.
    #[prost(uint32, tag = "15")]
    pub gap_ms: u32,
}

/// Tokens of an answer.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnswerChunk {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Offset in tokens of the whole answer.
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    /// Tokens in this chunk.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Text.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// End of an attempt.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnswerEnd {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Tokens of the whole answer up to here.
    #[prost(uint32, tag = "2")]
    pub total: u32,
    /// How it ended.
    #[prost(enumeration = "FinishCode", tag = "3")]
    pub finish: i32,
    /// Handle of the KV cache, with a handoff.
    #[prost(string, tag = "4")]
    pub kv_handle: String,
}

/// An attempt that was not run.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RunRefusal {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Reason.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Milliseconds after which to try again.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// Ends an attempt whose answer nobody waits for.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct RunCancel {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Asks for tickets.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TicketAsk {
    /// Attempt that the answer names.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Account that the tickets are bound to.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Call that the tickets are bound to.
    #[prost(string, tag = "3")]
    pub call: String,
    /// How many.
    #[prost(uint32, tag = "4")]
    pub count: u32,
}

/// Tickets, signed.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TicketGrant {
    /// Attempt of the question.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Tickets in their text form.
    #[prost(string, repeated, tag = "2")]
    pub tickets: Vec<String>,
}

/// A call of a plain service.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CallRun {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Name of the call.
    #[prost(string, tag = "3")]
    pub call: String,
    /// Ticket, empty for a call that may be repeated.
    #[prost(string, tag = "4")]
    pub ticket: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Milliseconds until the answer is due.
    #[prost(uint32, tag = "6")]
    pub due_ms: u32,
}

/// What became of a call.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CallOutcome {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Verdict.
    #[prost(enumeration = "VerdictCode", tag = "2")]
    pub verdict: i32,
    /// HTTP status of the service.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Body of the service.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Why, where it was not run.
    #[prost(string, tag = "5")]
    pub reason: String,
}

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
    pub stamp_ms: u64,
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

/// A configuration document.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigDocument {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// JSON text.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}

/// Asks for a later configuration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigPull {
    /// Version that the sender has.
    #[prost(uint64, tag = "1")]
    pub have: u64,
}

/// Tells of a crash and of the requests that ran there.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SuspectNotice {
    /// Id of the crash, the same from whoever tells of it.
    #[prost(uint64, tag = "1")]
    pub crash: u64,
    /// Fingerprints of the requests that ran there.
    #[prost(uint64, repeated, tag = "2")]
    pub fingerprints: Vec<u64>,
    /// Instance that crashed.
    #[prost(string, tag = "3")]
    pub instance: String,
}
