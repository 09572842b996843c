//! Follows the events of one stream over the runs that produce it.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Longest event; a longer one ends the stream.
const EVENT_LIMIT_BYTES: usize = 256 * 1_024;

/// Why a stream cannot go on with what a run has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than allowed.
    TooLong,
    /// An event's id does not follow the one before.
    Gap {
        /// Id of the last event passed on.
        last: u64,
        /// Id that came.
        found: u64,
    },
}

/// Passes whole events on once each, in the order of their ids.
#[derive(Debug, Default)]
pub struct EventCursor {
    pending: BytesMut,
    last_id: Option<u64>,
    id_step: Option<u64>,
}

impl EventCursor {
    /// A cursor for a caller that has events up to this id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Id of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the run has sent part of an event only.
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets the incomplete event of a run that has ended.
    pub fn start_attempt(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes of the current run and gives the whole events that are new.
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(data);
        let mut new_events = BytesMut::new();
        while let Some(length) = first_event_length(&self.pending) {
            let event = self.pending.split_to(length);
            if self.advance(event_id(&event))? {
                new_events.extend_from_slice(&event);
            }
        }
        if self.pending.len() > EVENT_LIMIT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(new_events.freeze())
    }

    /// Whether an event with this id is new; events without one are passed on as they come.
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
        let step = *self.id_step.get_or_insert(found - last);
        if found - last != step {
            return Err(EventError::Gap { last, found });
        }
        self.last_id = Some(found);
        Ok(true)
    }
}

/// Length of the first whole event with the blank line that ends it.
fn first_event_length(data: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in data.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &data[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let found = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(found?).ok()?;
    text.trim().parse().ok()
}
