//! What processes tell each other of configuration and crashes.

use bytes::Bytes;

/// A configuration document.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigDocument {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// JSON text.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}

/// Asks for a later configuration.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigRequest {
    /// Version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Tells of a crash and of the requests that ran there.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CrashNotice {
    /// Id of the crash, the same from whoever tells of it.
    #[prost(uint64, tag = "1")]
    pub crash: u64,
    /// Fingerprints of the requests that ran there.
    #[prost(uint64, repeated, tag = "2")]
    pub fingerprints: Vec<u64>,
    /// Instance that crashed.
    #[prost(string, tag = "3")]
    pub instance: String,
}
