//! Frame, the envelope of every message, and the messages of the handshake.

use bytes::Bytes;

use crate::messages::{
    AnswerChunk,
    AnswerEnd,
    AttemptCancel,
    AttemptRefusal,
    CallOutcome,
    CallRequest,
    ConfigDocument,
    ConfigRequest,
    CrashNotice,
    GenerateRequest,
    Heartbeat,
    LeaveNotice,
    OrderVerdict,
    RoleOrder,
    TicketGrant,
    TicketRequest, //
};

/// First message of the handshake, sent by the accepting process.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Challenge {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random nonce of the sender.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
}

/// Second message of the handshake, which authenticates the connecting process.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Instance id of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Random nonce of the sender.
    #[prost(bytes = "bytes", tag = "4")]
    pub nonce: Bytes,
    /// Signature of the sender over both nonces and its identity.
    #[prost(bytes = "bytes", tag = "5")]
    pub proof: Bytes,
}

/// Last message of the handshake, which authenticates the accepting process.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Welcome {
    /// Instance id of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Signature of the sender over both nonces and its identity.
    #[prost(bytes = "bytes", tag = "3")]
    pub proof: Bytes,
}

/// Frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// Message of the frame, absent if its kind is unknown to this version.
    #[prost(
        oneof = "FrameKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub kind: Option<FrameKind>,
}

/// Message that a frame carries.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum FrameKind {
    /// First step of the handshake.
    #[prost(message, tag = "1")]
    Challenge(Challenge),
    /// Second step of the handshake.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Last step of the handshake.
    #[prost(message, tag = "3")]
    Welcome(Welcome),
    /// Heartbeat, with load from side processes.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// Request to a model engine.
    #[prost(message, tag = "5")]
    Generate(GenerateRequest),
    /// Output tokens of an attempt.
    #[prost(message, tag = "6")]
    Chunk(AnswerChunk),
    /// End of an attempt.
    #[prost(message, tag = "7")]
    End(AnswerEnd),
    /// Refusal of an attempt.
    #[prost(message, tag = "8")]
    Refusal(AttemptRefusal),
    /// Cancellation of an attempt.
    #[prost(message, tag = "9")]
    Cancel(AttemptCancel),
    /// Request for call tickets.
    #[prost(message, tag = "10")]
    TicketRequest(TicketRequest),
    /// Call tickets.
    #[prost(message, tag = "11")]
    TicketGrant(TicketGrant),
    /// Call of a plain service.
    #[prost(message, tag = "12")]
    Call(CallRequest),
    /// Outcome of a call.
    #[prost(message, tag = "13")]
    Outcome(CallOutcome),
    /// Order to an engine to change its role.
    #[prost(message, tag = "14")]
    Order(RoleOrder),
    /// Acceptance or refusal of an order.
    #[prost(message, tag = "15")]
    Verdict(OrderVerdict),
    /// Start or cancellation of the sender's drain.
    #[prost(message, tag = "16")]
    Leave(LeaveNotice),
    /// Configuration document.
    #[prost(message, tag = "17")]
    Config(ConfigDocument),
    /// Request for a later configuration.
    #[prost(message, tag = "18")]
    ConfigRequest(ConfigRequest),
    /// Crash of a backend server, with the requests that were running.
    #[prost(message, tag = "19")]
    CrashNotice(CrashNotice),
}

impl From<FrameKind> for Frame {
    fn from(kind: FrameKind) -> Self {
        Self { kind: Some(kind) }
    }
}
