//! Errors of opening the log.

use std::path::PathBuf;

use snafu::Snafu;

/// Error of opening the log.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The log file cannot be opened for writing.
    #[snafu(display("cannot open the log file {path:?}: {source}; set a writable path"))]
    OpenFile {
        /// Path of the log file.
        path: PathBuf,
        /// Error of the log library.
        source: Box<spdlog::Error>,
    },
    /// The logger cannot be built.
    #[snafu(display("cannot build the logger: {source}; report this as a bug"))]
    BuildLogger {
        /// Error of the log library.
        source: Box<spdlog::Error>,
    },
}
