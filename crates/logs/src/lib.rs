//! Decision log: one line of JSON for each decision of a process.

mod decision;
mod error;
mod line;
mod queue;
mod sink;

pub use decision::DecisionKind;
pub use decision::DecisionRecord;
pub use error::LogError;
pub use sink::LogSink;
