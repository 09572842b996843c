//! Requests to model engines and their answers.

use bytes::Bytes;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum FinishCode {
    /// Default value of the encoding, never sent.
    Unset = 0,
    /// The model finished its answer.
    Stop = 1,
    /// The answer reached the caller's token limit.
    Length = 2,
    /// Prefill is complete; the answer continues on a decode engine.
    Handoff = 3,
    /// The engine ended the stream early; the answer continues on another engine.
    Interrupted = 4,
    /// The engine crashed during the attempt.
    Crashed = 5,
}

/// Request to a model engine to generate an answer or its remainder.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GenerateRequest {
    /// Attempt id, unique within the entry that sends the request.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Request id of 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub request: Bytes,
    /// Request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Rank of the class, 0 for the most urgent.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Name of the model.
    #[prost(string, tag = "5")]
    pub model: String,
    /// Text of the prompt.
    #[prost(bytes = "bytes", tag = "6")]
    pub prompt: Bytes,
    /// Output already sent to the caller by earlier attempts.
    #[prost(bytes = "bytes", tag = "7")]
    pub prior_output: Bytes,
    /// Number of tokens in `prior_output`.
    #[prost(uint32, tag = "8")]
    pub prior_tokens: u32,
    /// Number of tokens of the prompt.
    #[prost(uint32, tag = "9")]
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the whole answer.
    #[prost(uint32, tag = "10")]
    pub max_tokens: u32,
    /// Time in milliseconds within which the first token is due.
    #[prost(uint32, tag = "11")]
    pub first_token_ms: u32,
    /// Fingerprint of the request's class and body.
    #[prost(uint64, tag = "12")]
    pub fingerprint: u64,
    /// Handle of a KV cache to import, empty for none.
    #[prost(string, tag = "13")]
    pub kv_handle: String,
    /// Whether the request must run alone on the engine, as it is suspected of causing crashes.
    #[prost(bool, tag = "14")]
    pub isolated: bool,
    /// Target for the time between tokens, in milliseconds.
    #[prost(uint32, tag = "15")]
    pub token_gap_ms: u32,
}

/// Output tokens of an attempt.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnswerChunk {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Position of the first token in the whole answer.
    #[prost(uint32, tag = "2")]
    pub offset: u32,
    /// Number of tokens in the chunk.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Text of the tokens.
    #[prost(bytes = "bytes", tag = "4")]
    pub text: Bytes,
}

/// End of an attempt.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AnswerEnd {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Number of tokens of the whole answer so far, including earlier attempts.
    #[prost(uint32, tag = "2")]
    pub total_tokens: u32,
    /// How the attempt ended, as a [`FinishCode`].
    #[prost(enumeration = "FinishCode", tag = "3")]
    pub finish: i32,
    /// Handle of the KV cache after a handoff, empty otherwise.
    #[prost(string, tag = "4")]
    pub kv_handle: String,
}

/// Refusal of an attempt, which was not run.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AttemptRefusal {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Reason for the refusal.
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Time in milliseconds after which to retry.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// Cancels an attempt whose answer is no longer needed.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct AttemptCancel {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}
