//! Commands of the operators' program `galenarail`.
//!
//! Each command returns a report, or an error with a hint. Only `main` writes to the terminal.

mod commands;
mod editor;
mod error;
mod report;
mod table;

pub use commands::OperatorArgs;
pub use commands::run_command;
pub use editor::ConfigEditor;
pub use error::CliError;
pub use report::CommandReport;
