//! The error of parsing a unit from text.

use snafu::Snafu;

/// Why a text is not a valid id, size or rate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UnitError {
    /// The text has no characters.
    #[snafu(display("{kind} is empty; give at least one character"))]
    EmptyName {
        /// The unit that was parsed.
        kind: &'static str,
    },
    /// The text is longer than names may be.
    #[snafu(display("{kind} is longer than {limit} characters; shorten it"))]
    LongName {
        /// The unit that was parsed.
        kind: &'static str,
        /// The greatest length allowed.
        limit: usize,
    },
    /// The text holds a character that names may not hold.
    #[snafu(display(
        "{kind} holds {found:?}; use letters, digits, '-', '_', '.', '/' and ':' only"
    ))]
    BadCharacter {
        /// The unit that was parsed.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number of this unit.
    #[snafu(display("{kind} {text:?} is not a number; write it in {base}"))]
    BadNumber {
        /// The unit that was parsed.
        kind: &'static str,
        /// The text that was given.
        text: String,
        /// The notation expected.
        base: &'static str,
    },
}
