//! Where a requested stream begins.

use bytes::Bytes;

/// Maximum length of the name of a stream.
const MAX_NAME_BYTES: usize = 64;

/// Whether a request begins a stream or takes one up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum StreamStart {
    /// The request begins a stream.
    #[default]
    New,
    /// The request takes up the stream whose first event came in response to the request with this id.
    Named(Bytes),
    /// The request takes up a stream that it does not name legibly.
    Unknown,
}

impl StreamStart {
    /// Returns the start of a stream that is taken up by a name, which holds up to 64 visible ASCII
    /// characters.
    pub fn named(name: &[u8]) -> Self {
        let name = name.trim_ascii();
        let is_legible = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name.iter().all(u8::is_ascii_graphic);
        if is_legible {
            Self::Named(Bytes::copy_from_slice(name))
        } else {
            Self::Unknown
        }
    }
}
