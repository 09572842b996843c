//! Errors of settings and configurations.

use std::path::PathBuf;

use snafu::Snafu;

/// Why settings or a configuration were refused.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfError {
    /// No settings file is named.
    #[snafu(display("no settings file is named; give --settings or set {variable}"))]
    NoSettingsFile {
        /// Variable of the environment that may name it.
        variable: &'static str,
    },
    /// The file can't be read.
    #[snafu(display("cannot read {path:?}: {source}; check the path and its permissions"))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The text is not JSON of the expected shape.
    #[snafu(display("field {path}: {message}; see docs/settings.md and docs/configuration.md"))]
    Malformed {
        /// Path of the field.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// A value is outside its range, or contradicts another.
    #[snafu(display("field {path}: {problem}; {remedy}"))]
    InvalidValue {
        /// Path of the field.
        path: String,
        /// What is wrong with it.
        problem: String,
        /// What to do.
        remedy: &'static str,
    },
}
