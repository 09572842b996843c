//! Messages by which gateways learn configurations from each other.

use std::fmt;

use bytes::Bytes;

/// Position of a configuration in the history of the store.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigPlace {
    /// Era of the store, if the store tells one.
    #[prost(uint64, optional, tag = "1")]
    pub era: Option<u64>,
    /// Revision of the configuration's key.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Version of the configuration.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// Configuration as the store holds it, with its position there.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
#[prost(skip_debug)]
pub struct ConfigCopy {
    /// Position.
    #[prost(message, optional, tag = "1")]
    pub place: Option<ConfigPlace>,
    /// Value of the configuration's key. It holds keys of callers.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}

impl fmt::Debug for ConfigCopy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let size_bytes = self.document.len();
        write!(f, "ConfigCopy({:?}, {size_bytes} hidden bytes)", self.place)
    }
}
