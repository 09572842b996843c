//! Digest of the key by which a caller shows which account it belongs to.

use std::fmt;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

/// SHA-256 digest of an account's key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key in the form in which callers present it.
    pub fn from_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyDigest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut digest = [0; 32];
        let decode_result = hex::decode_to_slice(text, &mut digest);
        decode_result
            .map_err(|e| format!("{e}; give the SHA-256 of the key as 64 hexadecimal digits"))?;
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}
