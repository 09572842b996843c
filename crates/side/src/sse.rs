//! Parser for server-sent events.

use bytes::{
    Buf,
    BytesMut, //
};

/// Limit on the buffered bytes; a longer event ends the stream.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Splits a byte stream into the data of its server-sent events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Appends received bytes, and returns false if the buffer then exceeds the limit.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next complete event and returns its data.
    pub(crate) fn next_event(&mut self) -> Option<BytesMut> {
        let event_end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let mut event = self.buffer.split_to(event_end);
        self.buffer.advance(2);
        if event.starts_with(b"data: ") {
            event.advance(6);
        }
        Some(event)
    }
}
