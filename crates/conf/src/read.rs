//! Reading of settings from JSON files.

use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::ConfError;
use crate::error::{
    MalformedSnafu,
    ReadFileSnafu, //
};

/// Reads settings from a JSON file. Ranges of values are not checked.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, ConfError> {
    let text = std::fs::read(path).context(ReadFileSnafu { path })?;
    parse_json(&text)
}

/// Parses JSON. Errors name the path of the invalid field.
pub(crate) fn parse_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, ConfError> {
    let mut source = serde_json::Deserializer::from_slice(text);
    match serde_path_to_error::deserialize(&mut source) {
        Ok(value) => Ok(value),
        Err(error) => {
            let path = error.path().to_string();
            let message = error.inner().to_string();
            MalformedSnafu { path, message }.fail()
        }
    }
}
