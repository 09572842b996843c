//! Secret shared by all processes of one system.

use std::fmt;

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use sha2::Sha256;

/// Secret that authenticates the processes of a system to each other and signs tickets.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the HMAC-SHA-256 signature of the parts. The length of each part is signed as well,
    /// so that the same bytes divided differently have another signature.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether `signature` is the signature of the parts, in constant time.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).verify_slice(signature).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.0) {
            Ok(mac) => mac,
            Err(_) => unreachable!("HMAC accepts keys of any length"),
        };
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(hidden)")
    }
}
