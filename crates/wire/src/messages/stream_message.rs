//! Datagrams and records by which gateways share the software versions that began streams.

/// Streams that one software version has begun.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct VersionStreams {
    /// The version; empty for engines that state none.
    #[prost(string, tag = "1")]
    pub version: String,
    /// Keys of the streams.
    #[prost(fixed64, repeated, tag = "2")]
    pub streams: Vec<u64>,
    /// For each stream, the time for which its caller may still come back, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub left_ms: Vec<u32>,
}

/// Streams that a gateway has begun within some time, as written to the platform's store.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct SavedStreams {
    /// The streams by version.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionStreams>,
}

/// Asks which version began a stream.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StreamQuestion {
    /// Number of the question, repeated in the answer.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// Key of the stream.
    #[prost(fixed64, tag = "2")]
    pub stream: u64,
    /// Service of the stream.
    #[prost(string, tag = "3")]
    pub service: String,
}

/// Answers a [`StreamQuestion`].
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StreamAnswer {
    /// Number of the question.
    #[prost(fixed64, tag = "1")]
    pub number: u64,
    /// The stream, if the sender knows what began it.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<VersionStreams>,
    /// Versions of the service that may have begun a stream, as far as the sender knows. Gateways of earlier
    /// releases decide by them.
    #[prost(string, repeated, tag = "3")]
    pub versions: Vec<String>,
}

/// Streams, a question or an answer, sent as one datagram. The tags are none of the other messages that
/// come to the same address.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
pub struct StreamMessage {
    /// Instance id of the sending gateway.
    #[prost(string, tag = "24")]
    pub instance: String,
    /// Streams that the sender has begun.
    #[prost(message, repeated, tag = "25")]
    pub begun: Vec<VersionStreams>,
    /// Question to the receiver.
    #[prost(message, optional, tag = "26")]
    pub question: Option<StreamQuestion>,
    /// Answer to a question of the receiver.
    #[prost(message, optional, tag = "27")]
    pub answer: Option<StreamAnswer>,
}
