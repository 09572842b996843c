//! Code that all daemon programs share: arguments, settings, logs, signals and metrics.

mod args;
mod clock;
mod metrics;
mod program;
mod source;

pub use args::DaemonArgs;
pub use clock::boot_time;
pub use metrics::MetricSet;
pub use program::DaemonError;
pub use program::DaemonProgram;
pub use program::LogOutput;
