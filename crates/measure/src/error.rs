//! Errors of the simulator.

use snafu::Snafu;

/// Reason why a simulation cannot be run or its result cannot be drawn.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// No scenario, site or policy has the requested name.
    #[snafu(display("no {kind} {name:?}; run with --list to see all"))]
    UnknownName {
        /// Kind of the object: scenario, site or policy.
        kind: &'static str,
        /// Requested name.
        name: String,
    },
    /// The plot cannot be drawn.
    #[snafu(display("cannot draw the plot: {reason}; check the path"))]
    Plot {
        /// Error of the plotting library.
        reason: String,
    },
}
