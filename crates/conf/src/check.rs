//! Checks of values whose errors name the field and the remedy.

use std::fmt::Display;

use crate::ConfError;
use crate::error::InvalidValueSnafu;

/// Returns an error about the field at `path` unless `is_valid` is true.
pub(crate) fn require(
    is_valid: bool,
    path: impl Into<String>,
    problem: impl Into<String>,
    remedy: &'static str,
) -> Result<(), ConfError> {
    if is_valid {
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

/// Returns an error about the field at `path` unless `value` lies between `min` and `max`, inclusive.
pub(crate) fn require_range<T: PartialOrd + Display>(
    value: T,
    min: T,
    max: T,
    path: impl Into<String>,
) -> Result<(), ConfError> {
    let is_in_range = value >= min && value <= max;
    let problem = format!("{value} is not between {min} and {max}");
    require(is_in_range, path, problem, "choose a value in this range")
}
