//! Streams over several runs: every event once, in order, whole.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use policy::{
    EventCursor,
    EventFault, //
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
    assert_eq!(cursor.last(), Some(3));
    assert!(!cursor.is_mid_event());
}

#[test]
fn push_holds_back_part_of_an_event() {
    let mut cursor = EventCursor::after(None);
    assert!(cursor.push(b"id: 1\ndata: tok").unwrap().is_empty());
    assert!(cursor.is_mid_event());
    assert_eq!(cursor.last(), None);
}

#[test]
fn push_drops_what_an_earlier_run_sent() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    cursor.push(b"id: 5\nda").unwrap();
    cursor.start_run();
    let fresh = cursor.push(events(3..=6).as_bytes()).unwrap();
    assert_eq!(fresh, Bytes::from(events(5..=6)));
}

#[test]
fn push_refuses_a_gap() {
    let mut cursor = EventCursor::after(None);
    cursor.push(events(1..=4).as_bytes()).unwrap();
    cursor.start_run();
    let fault = cursor.push(event(6).as_bytes());
    assert_eq!(fault, Err(EventFault::Gap { last: 4, found: 6 }));
}

/// The step between ids is known from the second event on.
#[test]
fn push_refuses_a_gap_after_the_callers_last_event() {
    let mut cursor = EventCursor::after(Some(12));
    let fault = cursor.push(events(14..=15).as_bytes());
    assert!(matches!(fault, Err(EventFault::Gap { .. })), "{fault:?}");
}

#[test]
fn push_refuses_an_endless_event() {
    let mut cursor = EventCursor::after(None);
    let fault = cursor.push(&vec![b'a'; 300 * 1024]);
    assert_eq!(fault, Err(EventFault::TooLong));
}

#[test]
fn push_passes_events_without_id() {
    let mut cursor = EventCursor::after(None);
    let text = "data: a\r\n\r\n: note\n\n";
    assert_eq!(cursor.push(text.as_bytes()).unwrap(), Bytes::from(text));
}

proptest! {
    /// Runs that break anywhere and resume anywhere up to the last event give each event once.
    #[test]
    fn push_broken_runs(cuts in proptest::collection::vec((0_usize..400, 0_u64..4), 1..6)) {
        let whole = events(1..=20);
        let mut cursor = EventCursor::after(None);
        let mut passed = String::new();
        for (length, back) in cuts {
            cursor.start_run();
            let from = (cursor.last().unwrap_or(0) + 1).saturating_sub(back).max(1);
            let run: String = (from..=20).map(event).collect();
            let cut = &run.as_bytes()[..length.min(run.len())];
            for piece in cut.chunks(7) {
                let fresh = cursor.push(piece).unwrap();
                passed.push_str(std::str::from_utf8(&fresh).unwrap());
            }
        }
        prop_assert!(whole.starts_with(&passed));
    }
}
