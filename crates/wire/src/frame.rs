//! The envelope of every message.

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

/// Sent first, by the process that accepted the connection.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Challenge {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Random bytes of the sender.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
}

/// Proof of the connecting process.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Hello {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Instance of the sender.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Random bytes of the sender.
    #[prost(bytes = "bytes", tag = "4")]
    pub nonce: Bytes,
    /// Signature over both nonces and the identity.
    #[prost(bytes = "bytes", tag = "5")]
    pub proof: Bytes,
}

/// Proof of the process that accepted the connection.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Welcome {
    /// Instance of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Signature over both nonces and the identity.
    #[prost(bytes = "bytes", tag = "3")]
    pub proof: Bytes,
}

/// One frame on a link.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct Frame {
    /// What it carries; absent for a kind that this version does not know.
    #[prost(
        oneof = "FrameKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19"
    )]
    pub kind: Option<FrameKind>,
}

/// What a frame carries.
#[derive(Clone, PartialEq)]
#[derive(prost::Oneof)]
pub enum FrameKind {
    /// Handshake, first step.
    #[prost(message, tag = "1")]
    Challenge(Challenge),
    /// Handshake, second step.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Handshake, last step.
    #[prost(message, tag = "3")]
    Welcome(Welcome),
    /// Sign of life.
    #[prost(message, tag = "4")]
    Heartbeat(Heartbeat),
    /// Work for a model engine.
    #[prost(message, tag = "5")]
    Generate(GenerateRequest),
    /// Tokens of an answer.
    #[prost(message, tag = "6")]
    Chunk(AnswerChunk),
    /// End of an attempt.
    #[prost(message, tag = "7")]
    End(AnswerEnd),
    /// Attempt not run.
    #[prost(message, tag = "8")]
    Refusal(AttemptRefusal),
    /// End an attempt.
    #[prost(message, tag = "9")]
    Cancel(AttemptCancel),
    /// Ask for tickets.
    #[prost(message, tag = "10")]
    TicketRequest(TicketRequest),
    /// Tickets.
    #[prost(message, tag = "11")]
    TicketGrant(TicketGrant),
    /// Call of a plain service.
    #[prost(message, tag = "12")]
    Call(CallRequest),
    /// What became of a call.
    #[prost(message, tag = "13")]
    Outcome(CallOutcome),
    /// Order to an engine.
    #[prost(message, tag = "14")]
    Order(RoleOrder),
    /// What became of an order.
    #[prost(message, tag = "15")]
    Verdict(OrderVerdict),
    /// The sender leaves.
    #[prost(message, tag = "16")]
    Leave(LeaveNotice),
    /// A configuration.
    #[prost(message, tag = "17")]
    Config(ConfigDocument),
    /// Ask for a later configuration.
    #[prost(message, tag = "18")]
    ConfigRequest(ConfigRequest),
    /// A request that crashes backend servers.
    #[prost(message, tag = "19")]
    CrashNotice(CrashNotice),
}

impl From<FrameKind> for Frame {
    fn from(kind: FrameKind) -> Self {
        Self { kind: Some(kind) }
    }
}
