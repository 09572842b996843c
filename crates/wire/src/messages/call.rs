//! Calls of plain services, and the tickets that keep non-idempotent calls from running twice.

use bytes::Bytes;

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum VerdictCode {
    /// Default value of the encoding, never sent.
    Unset = 0,
    /// The call has run, now or earlier, and its reply is known.
    Done = 1,
    /// The call was not run and will never run with this ticket.
    NotRun = 2,
    /// Whether the call has run is unknown.
    Unknown = 3,
    /// The ticket's signature is invalid or the ticket is bound to another call; nothing was run.
    Forged = 4,
}

/// Requests tickets for calls of a plain service.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TicketRequest {
    /// Attempt id, repeated in the grant.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Account to which the tickets are bound.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Name of the call to which the tickets are bound.
    #[prost(string, tag = "3")]
    pub call: String,
    /// Number of tickets requested.
    #[prost(uint32, tag = "4")]
    pub count: u32,
}

/// Signed tickets, in reply to a [`TicketRequest`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct TicketGrant {
    /// Attempt id of the ticket request.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Tickets in text form.
    #[prost(string, repeated, tag = "2")]
    pub tickets: Vec<String>,
}

/// Call of a plain service.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CallRequest {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Account of the caller.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Name of the call.
    #[prost(string, tag = "3")]
    pub call: String,
    /// Ticket in text form, empty for an idempotent call.
    #[prost(string, tag = "4")]
    pub ticket: String,
    /// Body of the call.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Time in milliseconds within which the outcome is due.
    #[prost(uint32, tag = "6")]
    pub timeout_ms: u32,
}

/// Outcome of a [`CallRequest`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CallOutcome {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Outcome, as a [`VerdictCode`].
    #[prost(enumeration = "VerdictCode", tag = "2")]
    pub verdict: i32,
    /// HTTP status of the service's reply.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Body of the service's reply.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    /// Reason for an outcome other than `Done`.
    #[prost(string, tag = "5")]
    pub reason: String,
}
