//! Errors in settings and in the stored configuration.

use std::path::PathBuf;

use snafu::Snafu;

/// Reason why settings or a configuration were rejected.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfError {
    /// No settings file was given.
    #[snafu(display("no settings file is given; pass --settings or set {variable}"))]
    NoSettingsFile {
        /// Environment variable that may hold the path.
        variable: &'static str,
    },
    /// The settings file cannot be read.
    #[snafu(display("cannot read {path:?}: {source}; check the path and its permissions"))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The text is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[snafu(display("field {path}: {message}; see docs/settings.md and docs/configuration.md"))]
    Malformed {
        /// Path of the field.
        path: String,
        /// Message of the JSON parser.
        message: String,
    },
    /// A value is out of range or contradicts another value.
    #[snafu(display("field {path}: {problem}; {remedy}"))]
    InvalidValue {
        /// Path of the field.
        path: String,
        /// What is wrong with the value.
        problem: String,
        /// How to correct the value.
        remedy: &'static str,
    },
}
