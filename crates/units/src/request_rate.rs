//! Rate of requests.

use std::{
    fmt,
    str::FromStr, //
};

use crate::UnitError;
use crate::error::BadNumberSnafu;

/// Maximum length of the text form. Longer numbers say no more.
const MAX_TEXT_BYTES: usize = 24;

/// Requests per second, a finite number that is not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate. Returns `None` for a number that is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    /// Parses decimal digits with at most one point, such as `2` or `0.5`.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let is_decimal = text.len() <= MAX_TEXT_BYTES
            && text.starts_with(|first: char| first.is_ascii_digit())
            && text
                .bytes()
                .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let value = text.parse().ok().filter(|_| is_decimal);
        match value.and_then(Self::new) {
            Some(rate) => Ok(rate),
            None => BadNumberSnafu {
                kind: "request rate",
                text,
                base: "decimal",
            }
            .fail(),
        }
    }
}
