//! Errors of operators' commands.

use std::path::PathBuf;

use conf::ConfError;
use platform::PlatformError;
use snafu::Snafu;
use store::StoreError;
use units::ConfigVersion;

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// No store is named.
    #[snafu(display("no store is named"))]
    NoStore,
    /// The store gave no answer.
    #[snafu(display("cannot reach the configuration: {source}"))]
    Store {
        /// Why.
        source: StoreError,
    },
    /// The platform's store gave no answer.
    #[snafu(display("cannot read the platform's store: {source}"))]
    Fleet {
        /// Why.
        source: PlatformError,
    },
    /// The runtime for calls of the store did not start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Why.
        source: std::io::Error,
    },
    /// The change is not valid.
    #[snafu(display("the change is not valid: {source}"))]
    Invalid {
        /// Why.
        source: ConfError,
    },
    /// What is stored is not valid.
    #[snafu(display("the stored configuration is not valid: {source}"))]
    Stored {
        /// Why.
        source: ConfError,
    },
    /// A file can't be read.
    #[snafu(display("cannot read {path:?}: {source}"))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Something named does not exist.
    #[snafu(display("there is no {kind} {name}"))]
    Missing {
        /// What kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// Another operator was first.
    #[snafu(display("the configuration is at version {found}, not {expected}"))]
    Conflict {
        /// Version found.
        found: ConfigVersion,
        /// Version expected.
        expected: ConfigVersion,
    },
    /// Others kept changing the configuration.
    #[snafu(display("other operators changed the configuration {tries} times meanwhile"))]
    Busy {
        /// Tries made.
        tries: u32,
    },
    /// Whether the change took effect is not known.
    #[snafu(display("the store's answer was lost and it cannot be read back: {source}"))]
    Unresolved {
        /// Why.
        source: StoreError,
    },
}

impl CliError {
    /// What the operator can do, apart from what went wrong.
    pub fn hint(&self) -> &'static str {
        match self {
            Self::NoStore => "give --store with the address of the platform's store",
            Self::Store { .. } => "check --store and the health of the platform's store",
            Self::Fleet { .. } => {
                "check that --store names the platform's metadata store and that it is reachable"
            }
            Self::Runtime { .. } => "check the limits on open files and memory",
            Self::Invalid { .. } => "nothing was changed; correct the value and try again",
            Self::Stored { .. } => "run 'galenarail config show --json' and repair it",
            Self::ReadFile { .. } => "check the path and its permissions",
            Self::Missing { .. } => "run 'galenarail config show' to see what exists",
            Self::Conflict { .. } => "nothing was changed; look at 'galenarail config history'",
            Self::Busy { .. } => "nothing was changed; try again",
            Self::Unresolved { .. } => {
                "look for the change in 'galenarail config history' before trying again"
            }
        }
    }
}
