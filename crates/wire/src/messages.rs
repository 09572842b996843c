//! Messages that frames and datagrams carry.

mod call;
mod config;
mod gateway_load;
mod generate;
mod load;
mod order;

pub use call::CallOutcome;
pub use call::CallRequest;
pub use call::TicketGrant;
pub use call::TicketRequest;
pub use call::VerdictCode;
pub use config::ConfigDocument;
pub use config::ConfigRequest;
pub use config::CrashNotice;
pub use gateway_load::CrashReport;
pub use gateway_load::CrashStateCode;
pub use gateway_load::GatewayLoad;
pub use gateway_load::SegmentReport;
pub use gateway_load::ServerLoad;
pub use gateway_load::SuspectReport;
pub use generate::AnswerChunk;
pub use generate::AnswerEnd;
pub use generate::AttemptCancel;
pub use generate::AttemptRefusal;
pub use generate::FinishCode;
pub use generate::GenerateRequest;
pub use load::BackendDescription;
pub use load::Heartbeat;
pub use load::LoadStatus;
pub use order::LeaveNotice;
pub use order::OrderVerdict;
pub use order::RoleOrder;
