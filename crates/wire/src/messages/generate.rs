//! Work for model engines and their answers.

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

/// Work for a model engine.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct GenerateRequest {
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
    pub prior_output: Bytes,
    /// Tokens handed out already.
    #[prost(uint32, tag = "8")]
    pub prior_tokens: u32,
    /// Tokens of the prompt.
    #[prost(uint32, tag = "9")]
    pub prompt_tokens: u32,
    /// Most tokens of the whole answer.
    #[prost(uint32, tag = "10")]
    pub max_tokens: u32,
    /// Milliseconds until the first token is due.
    #[prost(uint32, tag = "11")]
    pub first_token_ms: u32,
    /// Fingerprint of class and body.
    #[prost(uint64, tag = "12")]
    pub fingerprint: u64,
    /// Handle of a KV cache to import, empty for none.
    #[prost(string, tag = "13")]
    pub kv_handle: String,
    /// Whether it must run alone, as a suspect.
    #[prost(bool, tag = "14")]
    pub isolated: bool,
    /// Target of the time between tokens, in milliseconds.
    #[prost(uint32, tag = "15")]
    pub token_gap_ms: u32,
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
    pub text: Bytes,
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
    pub total_tokens: u32,
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
pub struct AttemptRefusal {
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
pub struct AttemptCancel {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}
