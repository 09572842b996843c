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
    /// Number of bytes of `buffer` that hold no end of an event.
    searched: usize,
}

impl EventReader {
    /// Appends received bytes, and returns false if the buffer then exceeds the limit.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes the next complete event and returns its data.
    pub(crate) fn next_event(&mut self) -> Option<BytesMut> {
        let unsearched = &self.buffer[self.searched..];
        let Some(position) = unsearched.windows(2).position(|pair| pair == b"\n\n") else {
            // The last byte may be the first of the two.
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let event_end = self.searched + position;
        self.searched = 0;
        let mut event = self.buffer.split_to(event_end);
        self.buffer.advance(2);
        if event.starts_with(b"data: ") {
            event.advance(6);
        }
        Some(event)
    }
}
