//! Messages that distribute configurations and crash notices.

use bytes::Bytes;

/// Configuration document with its version.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigDocument {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Configuration as JSON text.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}

/// Requests the configuration of the receiver if it is later than the sender's.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct ConfigRequest {
    /// Version of the sender's configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Reports a crash of a backend server and the requests that were running.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct CrashNotice {
    /// Id of the crash, the same in all notices of this crash.
    #[prost(uint64, tag = "1")]
    pub crash: u64,
    /// Fingerprints of the requests that were running.
    #[prost(uint64, repeated, tag = "2")]
    pub fingerprints: Vec<u64>,
    /// Instance id of the crashed backend server.
    #[prost(string, tag = "3")]
    pub instance: String,
}
