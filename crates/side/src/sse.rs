//! Reads server-sent events out of a byte stream.

use bytes::{
    Buf,
    BytesMut, //
};

/// Longest event; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds bytes; false when an event is longer than allowed.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the data of the next whole event.
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
