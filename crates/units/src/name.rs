//! Validated names assigned by operators or by the platform.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::UnitError;
use crate::error::{
    BadCharacterSnafu,
    EmptyNameSnafu,
    LongNameSnafu, //
};

const MAX_NAME_CHARS: usize = 128;

fn check_name(kind: &'static str, text: &str) -> Result<(), UnitError> {
    if text.is_empty() {
        return EmptyNameSnafu { kind }.fail();
    }
    if text.len() > MAX_NAME_CHARS {
        let limit = MAX_NAME_CHARS;
        return LongNameSnafu { kind, limit }.fail();
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => BadCharacterSnafu { kind, found }.fail(),
        None => Ok(()),
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident => $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                check_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }
    )*};
}

name_types! {
    /// Account of a caller, to which request limits apply.
    AccountName => "account name";
    /// Operation that a plain service offers.
    CallName => "call name";
    /// Request class with its own latency targets.
    ClassName => "class name";
    /// Data centre (zone of the platform), with one planner.
    DataCentre => "data centre";
    /// Instance (machine) on which an entry, a gateway or a backend server runs.
    InstanceId => "instance id";
    /// Model that engines serve.
    ModelName => "model name";
    /// Route in the operators' configuration.
    RouteName => "route name";
    /// Plain service: a backend server that is not a model engine.
    ServiceName => "service name";
}
