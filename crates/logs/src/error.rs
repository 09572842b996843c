//! Errors of setting up the log.

use std::path::PathBuf;

use snafu::Snafu;

/// Why the log could not be set up.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The file can't be written.
    #[snafu(display("cannot write the log to {path:?}: {source}; choose a writable path"))]
    OpenFile {
        /// Path that was tried.
        path: PathBuf,
        /// Why it failed.
        source: Box<spdlog::Error>,
    },
    /// The logger can't be built.
    #[snafu(display("cannot build the logger: {source}; give its process one name only"))]
    BuildLogger {
        /// Why it failed.
        source: Box<spdlog::Error>,
    },
}
