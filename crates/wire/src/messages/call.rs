//! Calls of plain services and their tickets.

use bytes::Bytes;

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

/// Asks for tickets.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TicketRequest {
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
pub struct CallRequest {
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
    pub timeout_ms: u32,
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
