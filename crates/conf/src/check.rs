//! Range checks that name the field and the remedy.

use std::fmt::Display;

use crate::ConfError;
use crate::error::InvalidValueSnafu;

/// Fails with the field's path unless a condition holds.
pub(crate) fn require(
    holds: bool,
    path: impl Into<String>,
    problem: impl Into<String>,
    remedy: &'static str,
) -> Result<(), ConfError> {
    if holds {
        return Ok(());
    }
    let path = path.into();
    let problem = problem.into();
    InvalidValueSnafu {
        path,
        problem,
        remedy,
    }
    .fail()
}

/// Fails unless a value lies between two others, both allowed.
pub(crate) fn require_range<T: PartialOrd + Display>(
    value: T,
    least: T,
    most: T,
    path: impl Into<String>,
) -> Result<(), ConfError> {
    let holds = value >= least && value <= most;
    let problem = format!("{value} is not between {least} and {most}");
    require(holds, path, problem, "choose a value in this range")
}
