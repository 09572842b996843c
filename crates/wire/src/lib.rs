//! Protocol between entries and side processes: messages, codec, handshake and links.
//!
//! The crate also defines the datagrams in which gateways exchange their load.

mod codec;
mod error;
mod frame;
mod handshake;
mod link;
mod messages;
mod traffic;

pub use codec::FRAME_LIMIT_BYTES;
pub use codec::FrameCodec;
pub use error::WireError;
pub use frame::Challenge;
pub use frame::Frame;
pub use frame::FrameKind;
pub use frame::Hello;
pub use frame::Welcome;
pub use handshake::PROTOCOL_VERSION;
pub use handshake::PeerIdentity;
pub use link::FrameLink;
pub use link::LinkSender;
pub use link::LinkTimeouts;
pub use link::accept_link;
pub use link::connect_link;
pub use messages::AnswerChunk;
pub use messages::AnswerEnd;
pub use messages::AttemptCancel;
pub use messages::AttemptRefusal;
pub use messages::BackendDescription;
pub use messages::CallOutcome;
pub use messages::CallRequest;
pub use messages::ConfigDocument;
pub use messages::ConfigRequest;
pub use messages::CrashNotice;
pub use messages::CrashReport;
pub use messages::CrashStateCode;
pub use messages::FinishCode;
pub use messages::GatewayLoad;
pub use messages::GenerateRequest;
pub use messages::Heartbeat;
pub use messages::LeaveNotice;
pub use messages::LimitReport;
pub use messages::LoadStatus;
pub use messages::OrderVerdict;
pub use messages::RoleOrder;
pub use messages::SegmentReport;
pub use messages::ServerLoad;
pub use messages::SuspectReport;
pub use messages::TicketGrant;
pub use messages::TicketRequest;
pub use messages::TokenDemand;
pub use messages::TokenIssue;
pub use messages::TokenMessage;
pub use messages::VerdictCode;
pub use traffic::LinkTraffic;
pub use traffic::link_traffic;
