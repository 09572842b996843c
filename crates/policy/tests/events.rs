//! Streams produced by several attempts: each event is forwarded once, in order and complete.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use policy::{
    EventCursor,
    EventError, //
};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

#[test]
fn push_whole_events() {
    let mut cursor = EventCursor::after(None);
    let text = events(1..=3);
    assert_eq!(cursor.push(text.as_bytes()).unwrap(), Bytes::from(text));
    assert_eq!(cursor.last_id(), Some(3));
    assert!(!cursor.is_mid_event());
}

#[test]
fn push_buffers_incomplete_event() {
    let mut cursor = EventCursor::after(None);
    assert!(cursor.push(b"id: 1\ndata: tok").unwrap().is_empty());
    assert!(cursor.is_mid_event());
    assert_eq!(cursor.last_id(), None);
}

#[test]
fn push_drops_repeated_events() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    cursor.push(b"id: 5\nda").unwrap();
    cursor.start_attempt();
    let new_events = cursor.push(events(3..=6).as_bytes()).unwrap();
    assert_eq!(new_events, Bytes::from(events(5..=6)));
}

#[test]
fn push_rejects_gap() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    cursor.start_attempt();
    let error = cursor.push(event(6).as_bytes());
    assert_eq!(error, Err(EventError::Gap { last: 4, found: 6 }));
}

/// The step between ids is unknown until the second event, so that the gap is detected there.
#[test]
fn push_rejects_gap_after_last_event_id() {
    let mut cursor = EventCursor::after(Some(12));
    let error = cursor.push(events(14..=15).as_bytes());
    assert!(matches!(error, Err(EventError::Gap { .. })), "{error:?}");
}

#[test]
fn push_rejects_oversized_event() {
    let mut cursor = EventCursor::after(None);
    let error = cursor.push(&vec![b'a'; 300 * 1024]);
    assert_eq!(error, Err(EventError::TooLong));
}

#[test]
fn push_forwards_events_without_id() {
    let mut cursor = EventCursor::after(None);
    let text = "data: a\r\n\r\n: note\n\n";
    assert_eq!(cursor.push(text.as_bytes()).unwrap(), Bytes::from(text));
}

proptest! {
    /// Attempts may break at any byte and resume at any event up to the last forwarded one.
    #[test]
    fn push_random_attempts(cuts in proptest::collection::vec((0_usize..400, 0_u64..4), 1..6)) {
        let whole = events(1..=20);
        let mut cursor = EventCursor::after(None);
        let mut forwarded = String::new();
        for (length, repeated) in cuts {
            cursor.start_attempt();
            let from = (cursor.last_id().unwrap_or(0) + 1).saturating_sub(repeated).max(1);
            let sent: String = (from..=20).map(event).collect();
            let cut = &sent.as_bytes()[..length.min(sent.len())];
            for chunk in cut.chunks(7) {
                let new_events = cursor.push(chunk).unwrap();
                forwarded.push_str(std::str::from_utf8(&new_events).unwrap());
            }
        }
        prop_assert!(whole.starts_with(&forwarded));
    }
}

/// Guards against comments without end, which carry no id.
#[test]
fn push_endless_comments() {
    let mut cursor = EventCursor::after(None);
    cursor.push(event(1).as_bytes()).unwrap();
    let comments = ": still there\n\n".repeat(1_000);
    let mut pushed = 0;
    while cursor.push(comments.as_bytes()).is_ok() {
        pushed += comments.len();
        assert!(pushed < 2 << 20, "{pushed} bytes");
    }
}

/// Guards against a search for the end of an event that starts over with each of many small parts.
#[test]
fn push_long_event_in_single_bytes() {
    let mut cursor = EventCursor::after(None);
    let text = format!("id: 1\ndata: {}\n\n", "x".repeat(200_000));
    let started = std::time::Instant::now();
    let mut events = Bytes::new();
    for byte in text.as_bytes() {
        events = cursor.push(&[*byte]).unwrap();
    }
    assert_eq!(events, Bytes::from(text));
    // A search from the start takes minutes.
    assert!(started.elapsed() < std::time::Duration::from_secs(2));
}

/// Guards against the text of an error in the middle of a stream: what comes before the next event of a
/// continuation belongs to no stream, unless it carries nothing.
#[test]
fn push_continuation_without_id() {
    for text in [
        "data: {\"error\":1}\n\n",
        "HTTP/1.1 500 X\r\nserver: x\r\n\r\n",
        "HTTP/1.1 500 X\r\nserver: x\r\nid: 5\ndata: token-5\n\n",
        "Server: x\nid: 5\n\n",
    ] {
        let mut cursor = EventCursor::after(None);
        cursor.push(events(1..=4).as_bytes()).unwrap();
        cursor.start_attempt();
        let pushed = cursor.push(text.as_bytes());
        assert_eq!(pushed, Err(EventError::NotContinued), "{text:?}");
    }
}

/// Guards against an answer without the next event that ends a stream as if it were complete.
#[test]
fn has_continued_until_next_event() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    assert!(cursor.has_continued());
    cursor.start_attempt();
    assert!(!cursor.has_continued());
    let repeated = format!(": note\n\n{}", events(3..=4));
    assert!(cursor.push(repeated.as_bytes()).unwrap().is_empty());
    assert!(!cursor.has_continued());
    let versioned = "weight-versions: 2\nid: 5\ndata: a\n\ndata: done\n\n";
    assert_eq!(cursor.push(versioned.as_bytes()).unwrap(), versioned);
    assert!(cursor.has_continued());
}

/// Guards against events that are counted as forwarded although an error later in the same bytes drops them, so
/// that the stream goes on after them.
#[test]
fn push_gap_after_good_event() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    cursor.start_attempt();
    let text = format!("{}{}", event(5), event(9));
    assert!(cursor.push(text.as_bytes()).is_err());
    assert_eq!(cursor.last_id(), Some(4));
    cursor.start_attempt();
    let rest = events(5..=6);
    assert_eq!(cursor.push(rest.as_bytes()).unwrap(), rest);
}

/// Guards against a gap after the only event before a break.
#[test]
fn push_continuation_after_one_event() {
    let mut cursor = EventCursor::after(None);
    cursor.push(event(1).as_bytes()).unwrap();
    cursor.start_attempt();
    let error = cursor.push(event(6).as_bytes());
    assert_eq!(error, Err(EventError::Gap { last: 1, found: 6 }));
}
