//! Hexadecimal form of the shared secret in the settings.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

const MIN_SECRET_BYTES: usize = 16;

/// Shared secret that settings hold in hexadecimal. Debug output does not contain the secret.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HexSecret(Vec<u8>);

impl HexSecret {
    /// Returns the decoded secret.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<String> for HexSecret {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let bytes =
            hex::decode(&text).map_err(|e| format!("the secret is not hexadecimal: {e}"))?;
        if bytes.len() < MIN_SECRET_BYTES {
            let min_digits = MIN_SECRET_BYTES * 2;
            return Err(format!(
                "the secret is too short; give at least {min_digits} hexadecimal digits"
            ));
        }
        Ok(Self(bytes))
    }
}

impl From<HexSecret> for String {
    fn from(secret: HexSecret) -> String {
        hex::encode(secret.0)
    }
}

impl fmt::Debug for HexSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HexSecret(hidden)")
    }
}
