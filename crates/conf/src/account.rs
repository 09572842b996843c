//! Callers' accounts. The configuration holds digests of their keys, never the keys.

use serde::{
    Deserialize,
    Serialize, //
};
use units::KeyDigest;

use crate::ConfError;
use crate::check::require_range;

/// Rate limit of an account and the digest of its key.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// Digest of the account's key.
    pub key_sha256: KeyDigest,
    /// Sustained request rate that each entry admits, in requests per second.
    pub requests_per_second: f64,
    /// Number of requests that each entry admits at once after a pause.
    pub burst: u32,
}

impl AccountConfig {
    pub(crate) fn check(&self, path: &str) -> Result<(), ConfError> {
        let rate = self.requests_per_second;
        require_range(
            rate,
            0.001,
            1_000_000.0,
            format!("{path}.requests_per_second"),
        )?;
        require_range(self.burst, 1, 1_000_000, format!("{path}.burst"))
    }
}
