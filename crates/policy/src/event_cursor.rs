//! Tracks the server-sent events of one stream across the attempts that produce it.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Maximum length of an incomplete event. A longer one ends the stream.
const EVENT_LIMIT_BYTES: usize = 256 * 1_024;

/// Maximum number of bytes of events without an id, such as comments, between two events with one.
const UNNUMBERED_LIMIT_BYTES: usize = 1_024 * 1_024;

/// Reason why the bytes of an attempt cannot continue a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event, or the events without an id after one with an id, exceed the maximum length.
    TooLong,
    /// The bytes before the next event of a continuation belong to no stream.
    NotContinued,
    /// An event id does not follow the previous one by the step of this stream.
    Gap {
        /// Id of the last forwarded event.
        last: u64,
        /// Id of the received event.
        found: u64,
    },
}

/// Forwards each complete event once, in the order of the event ids.
///
/// Ids increase by a constant step, which is taken from the first two ids of the stream, or is 1 if the
/// stream goes on elsewhere after the first.
#[derive(Debug, Clone, Default)]
pub struct EventCursor {
    pending: BytesMut,
    /// Start of the first line of `pending` whose end has not been found.
    line_start: usize,
    /// Number of bytes of `pending` that have been searched for the end of the event.
    searched: usize,
    /// Number of bytes of events without an id since the last one with an id.
    unnumbered_bytes: usize,
    last_id: Option<u64>,
    id_step: Option<u64>,
    /// Whether the attempt continues the stream and its first new event has not arrived.
    awaits_next: bool,
}

impl EventCursor {
    /// Creates a cursor for a caller that has received the events up to and including `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last forwarded event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the latest bytes of the attempt are an incomplete event.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the incomplete event of the previous attempt. What follows has to continue the stream.
    pub fn start_attempt(&mut self) {
        self.awaits_next = true;
        self.pending.clear();
        (self.line_start, self.searched) = (0, 0);
    }

    /// Returns whether the attempt has shown that it continues the stream. The end of one that has not may
    /// be that of any response.
    pub fn has_continued(&self) -> bool {
        !self.awaits_next
    }

    /// Parses bytes of the current attempt and returns the complete events that were not forwarded
    /// before. An error leaves the cursor after the last event that was returned.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        let (last_id, id_step) = (self.last_id, self.id_step);
        let result = self.push_events(data);
        if result.is_err() {
            (self.last_id, self.id_step) = (last_id, id_step);
        }
        result
    }

    fn push_events(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(data);
        let mut new_events = BytesMut::new();
        while let Some(length) = self.first_event_length() {
            let event = self.pending.split_to(length);
            (self.line_start, self.searched) = (0, 0);
            let id = event_id(&event);
            self.unnumbered_bytes = match id {
                Some(_) => 0,
                None => self.unnumbered_bytes + event.len(),
            };
            if self.unnumbered_bytes > UNNUMBERED_LIMIT_BYTES {
                return Err(EventError::TooLong);
            }
            if self.awaits_next && !continues_stream(id, &event) {
                return Err(EventError::NotContinued);
            }
            let is_new = self.advance(id)?;
            if self.awaits_next && (id.is_none() || !is_new) {
                continue;
            }
            self.awaits_next = false;
            if is_new {
                new_events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_LIMIT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(new_events.freeze())
    }

    /// Returns the length of the first complete event, including the blank line that ends it. Searches
    /// each byte once.
    fn first_event_length(&mut self) -> Option<usize> {
        let data = &self.pending;
        for (index, byte) in data.iter().enumerate().skip(self.searched) {
            if *byte != b'\n' {
                continue;
            }
            let line = &data[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = data.len();
        None
    }

    /// Advances to the event with this id and returns whether the event is new. Events without an
    /// id always count as new.
    fn advance(&mut self, id: Option<u64>) -> Result<bool, EventError> {
        let Some(found) = id else {
            return Ok(true);
        };
        let Some(last) = self.last_id else {
            self.last_id = Some(found);
            return Ok(true);
        };
        if found <= last {
            return Ok(false);
        }
        // Nothing of a continuation can show another step: its first event could follow a gap.
        let default_step = if self.awaits_next { 1 } else { found - last };
        let step = *self.id_step.get_or_insert(default_step);
        if found - last != step {
            return Err(EventError::Gap { last, found });
        }
        self.last_id = Some(found);
        Ok(true)
    }
}

/// Returns whether an event can come before or be the next one of a stream that goes on: one with an id and
/// nothing but fields, or comments alone.
fn continues_stream(id: Option<u64>, event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let is_blank = line.is_empty() || line.starts_with(b":");
        is_blank || (id.is_some() && is_field(line))
    })
}

/// Returns whether a line is a field of an event. The names of fields are in lowercase.
fn is_field(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    let is_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
    !name.is_empty() && name.iter().all(is_name) && parts.next().is_some()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let found = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(found?).ok()?;
    text.trim().parse().ok()
}
