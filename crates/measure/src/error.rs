//! Errors of experiments.

use snafu::Snafu;

/// Why an experiment did not run.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// A name is not known.
    #[snafu(display("no {kind} {name:?}; run with --list to see all"))]
    UnknownName {
        /// What was named.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A plot could not be drawn.
    #[snafu(display("cannot draw the plot: {reason}; check the path"))]
    Plot {
        /// Why.
        reason: String,
    },
}
