//! The secret shared by the processes of one system.

use std::fmt;

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use sha2::Sha256;

/// A secret that proves membership and signs tickets.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// A secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Signs the parts, whose lengths are part of what is signed.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Checks a signature in constant time.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).verify_slice(signature).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = match Hmac::<Sha256>::new_from_slice(&self.0) {
            Ok(mac) => mac,
            Err(_) => unreachable!("HMAC takes keys of any length"),
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
