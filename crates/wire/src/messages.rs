//! Messages that frames carry.

mod answer;
mod call;
mod config;
mod exchange;
mod load;
mod order;

pub use answer::AnswerChunk;
pub use answer::AnswerEnd;
pub use answer::FinishCode;
pub use answer::RunCancel;
pub use answer::RunRefusal;
pub use answer::RunRequest;
pub use call::CallOutcome;
pub use call::CallRun;
pub use call::TicketAsk;
pub use call::TicketGrant;
pub use call::VerdictCode;
pub use config::ConfigDocument;
pub use config::ConfigPull;
pub use config::SuspectNotice;
pub use exchange::LoadShare;
pub use exchange::ShareCrash;
pub use exchange::ShareLoad;
pub use load::BackendStatus;
pub use load::Heartbeat;
pub use load::LoadStatus;
pub use order::LeaveNotice;
pub use order::OrderVerdict;
pub use order::RoleOrder;
