//! Names of things an operator or the platform chose.

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
            /// The name as text.
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
    /// A caller's account, by which limits are kept.
    AccountName => "account name";
    /// A call of a plain service.
    CallName => "call name";
    /// A class of work with its own target.
    ClassName => "class name";
    /// A data centre, the unit of placement and of planning.
    DataCentre => "data centre";
    /// An instance of the platform: an entry's or a backend server's.
    InstanceId => "instance id";
    /// A model that backend servers run.
    ModelName => "model name";
    /// A route of the operators' configuration.
    RouteName => "route name";
    /// A plain service beside the model engines.
    ServiceName => "service name";
}
