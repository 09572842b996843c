//! Error returned when a unit cannot be parsed from text.

use snafu::Snafu;

/// Error of parsing a name, an id or a number.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UnitError {
    /// The text is empty.
    #[snafu(display("{kind} is empty; give at least one character"))]
    EmptyName {
        /// Description of the unit that was parsed.
        kind: &'static str,
    },
    /// The text is longer than the limit for names.
    #[snafu(display("{kind} is longer than {limit} characters; shorten it"))]
    LongName {
        /// Description of the unit that was parsed.
        kind: &'static str,
        /// Maximum length in bytes; accepted characters are one byte long.
        limit: usize,
    },
    /// The text contains a character that is not allowed in names.
    #[snafu(display(
        "{kind} holds {found:?}; use letters, digits, '-', '_', '.', '/' and ':' only"
    ))]
    BadCharacter {
        /// Description of the unit that was parsed.
        kind: &'static str,
        /// First character that is not allowed.
        found: char,
    },
    /// The text is not a number that the unit's type can represent.
    #[snafu(display("{kind} {text:?} is not a number; write it in {base}"))]
    BadNumber {
        /// Description of the unit that was parsed.
        kind: &'static str,
        /// Text that was parsed.
        text: String,
        /// Expected notation: decimal or hexadecimal.
        base: &'static str,
    },
}
