//! JSON log lines, one for each routing or placement decision.

mod decision;
mod error;
mod line;
mod queue;
mod sink;

pub use decision::DecisionKind;
pub use decision::DecisionRecord;
pub use error::LogError;
pub use sink::LogSink;
