//! Numeric newtypes, one for each unit.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::UnitError;
use crate::error::BadNumberSnafu;

macro_rules! number_types {
    ($(#[derive($($order:ident),*)] $(#[$doc:meta])* $name:ident($inner:ty) => $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, $($order),*)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let Ok(value) = text.parse() else {
                    let kind = $kind;
                    return BadNumberSnafu { kind, text, base: "decimal" }.fail();
                };
                Ok(Self(value))
            }
        }
    )*};
}

macro_rules! hex_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty, $width:literal) => $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let Ok(value) = <$inner>::from_str_radix(text, 16) else {
                    let kind = $kind;
                    return BadNumberSnafu { kind, text, base: "hexadecimal" }.fail();
                };
                Ok(Self(value))
            }
        }

        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }
    )*};
}

number_types! {
    #[derive(Eq, Ord, Hash)]
    /// Version of the operators' configuration, incremented by each accepted change.
    ConfigVersion(u64) => "configuration version";
    #[derive(Eq, Ord, Hash)]
    /// Epoch of a planner; each later lease holder has a higher one.
    EpochNumber(u64) => "epoch";
    #[derive(Eq, Ord, Hash)]
    /// Number of pieces (fixed-size blocks) of an engine's KV cache memory.
    PieceCount(u32) => "piece count";
    #[derive(Eq, Ord, Hash)]
    /// Number of the copy that the platform's store runs on. It rises when the store comes back
    /// from an earlier copy, which ends all revisions and leases.
    StoreEra(u64) => "store era";
    #[derive(Eq, Ord, Hash)]
    /// Number of tokens of a prompt or an output.
    TokenCount(u32) => "token count";
    #[derive(Eq, Ord, Hash)]
    /// Number of a window in which usage is counted. Window k begins k window lengths after 1970.
    UsageWindow(u64) => "usage window";
    #[derive(Eq, Ord, Hash)]
    /// Value of one answer relative to answers of other classes.
    WorthPoints(u32) => "worth";
    #[derive()]
    /// Tokens per second.
    TokenRate(f64) => "token rate";
    #[derive()]
    /// Amount of work, in seconds of one engine's time.
    EngineSeconds(f64) => "engine seconds";
}

hex_types! {
    /// Attempt: one send of a request to one backend server. Unique within its entry or gateway.
    AttemptId(u64, "16") => "attempt id";
    /// Hash of a request's class and body, equal for identical requests.
    FingerprintId(u64, "16") => "fingerprint";
    /// Random id of one run of a process; a restart draws a new one.
    IncarnationId(u64, "16") => "incarnation";
    /// Prefix segment of a prompt, which several requests may share.
    SegmentId(u64, "8") => "prefix segment";
    /// Hash of the name of a stream and its service.
    StreamKey(u64, "16") => "stream key";
    /// Request of a caller, the same for all its attempts.
    RequestId(u128, "32") => "request id";
}
