//! Errors of commands, with hints for the operator.

use std::path::PathBuf;

use conf::ConfError;
use platform::PlatformError;
use snafu::Snafu;
use store::StoreError;
use units::ConfigVersion;

/// Reason why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// No address of the store was given.
    #[snafu(display("no store address is given"))]
    NoStoreAddress,
    /// The store that holds the configuration could not be reached.
    #[snafu(display("cannot reach the configuration: {source}"))]
    Store {
        /// Cause of the failure.
        source: StoreError,
    },
    /// The platform's metadata store could not be read.
    #[snafu(display("cannot read the platform's store: {source}"))]
    MetadataStore {
        /// Cause of the failure.
        source: PlatformError,
    },
    /// The async runtime did not start.
    #[snafu(display("cannot start the async runtime: {source}"))]
    Runtime {
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The change would make the configuration invalid.
    #[snafu(display("the change is not valid: {source}"))]
    InvalidChange {
        /// Cause of the failure.
        source: ConfError,
    },
    /// The stored configuration is invalid.
    #[snafu(display("the stored configuration is not valid: {source}"))]
    InvalidStoredConfig {
        /// Cause of the failure.
        source: ConfError,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {path:?}: {source}"))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The named object does not exist.
    #[snafu(display("there is no {kind} {name}"))]
    NotFound {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object.
        name: String,
    },
    /// The configuration does not have the version that the operator expects.
    #[snafu(display("the configuration is at version {found}, not {expected}"))]
    Conflict {
        /// Version of the stored configuration.
        found: ConfigVersion,
        /// Version that the operator expects.
        expected: ConfigVersion,
    },
    /// Other operators changed the configuration between each read and write.
    #[snafu(display(
        "gave up after {attempts} attempts: other operators kept changing the configuration"
    ))]
    TooManyConflicts {
        /// Number of write attempts.
        attempts: u32,
    },
    /// The reply to a write was lost, and the store cannot be read to find out whether the change took
    /// effect.
    #[snafu(display(
        "the store's reply was lost, and the configuration cannot be read back: {source}"
    ))]
    OutcomeUnknown {
        /// Cause of the failure.
        source: StoreError,
    },
}

impl CliError {
    /// Returns advice on how the operator can resolve the error.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::NoStoreAddress => "pass the address of the platform's store with --store",
            Self::Store { .. } => "check --store and the health of the platform's store",
            Self::MetadataStore { .. } => {
                "check that --store names the platform's metadata store and that it is reachable"
            }
            Self::Runtime { .. } => "check the limits on open files and memory",
            Self::InvalidChange { .. } => "nothing was changed; correct the value and try again",
            Self::InvalidStoredConfig { .. } => "run 'galenarail config show --json' and repair it",
            Self::ReadFile { .. } => "check the path and its permissions",
            Self::NotFound { .. } => "run 'galenarail config show' to see what exists",
            Self::Conflict { .. } => "nothing was changed; look at 'galenarail config history'",
            Self::TooManyConflicts { .. } => "nothing was changed; try again",
            Self::OutcomeUnknown { .. } => {
                "look for the change in 'galenarail config history' before trying again"
            }
        }
    }
}
