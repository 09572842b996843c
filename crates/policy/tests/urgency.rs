//! Prompts that arrive faster than an engine reads them: who is read, and who is late.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    LAST_PRIORITY,
    PromptUrgency, //
};

const DRAFT: PromptUrgency = PromptUrgency {
    rank: 1,
    target: Duration::from_millis(800),
};
/// Time in which the engine reads one draft's prompt.
const READ: Duration = Duration::from_millis(120);

#[derive(Debug, Clone, Copy)]
struct OpenPrompt {
    came: Duration,
    priority: u8,
}

/// Drafts that came within a burst and were read in time, of all that came in it. The engine reads
/// one prompt after another, by priority and then in the order of arrival.
fn share_in_time(pause: Duration, burst: Duration, decide: impl Fn(Duration) -> u8) -> f64 {
    let mut queue: Vec<OpenPrompt> = Vec::new();
    let (mut clock, mut next) = (Duration::ZERO, Duration::ZERO);
    let (mut came, mut in_time) = (0, 0);
    while next < burst || !queue.is_empty() {
        while next <= clock && next < burst {
            let ahead = queue.iter().filter(|open| open.priority != LAST_PRIORITY);
            let wait = READ * ahead.count() as u32 + (clock - next);
            queue.push(OpenPrompt {
                came: next,
                priority: decide(wait),
            });
            came += 1;
            next += pause;
        }
        if queue.is_empty() {
            clock = next;
            continue;
        }
        let first = (0..queue.len()).min_by_key(|at| (queue[*at].priority, queue[*at].came));
        let open = queue.remove(first.unwrap());
        clock += READ;
        in_time += u32::from(clock - open.came <= DRAFT.target);
    }
    f64::from(in_time) / f64::from(came)
}

fn decide(begin: Duration) -> u8 {
    DRAFT.priority(DRAFT.place_at(begin, READ), READ)
}

/// Twice as many drafts as the engine reads, for as long as queues grow far beyond the target: a
/// fixed order makes all of them late once the queue is that long.
#[test]
fn prompts_flood_of_one_rank() {
    let pause = READ / 2;
    let burst = Duration::from_secs(20);
    let fixed = share_in_time(pause, burst, |_| DRAFT.priority(DRAFT.place(), READ));
    let yielding = share_in_time(pause, burst, decide);
    assert!(fixed < 0.1, "{fixed}");
    // The engine reads half of what comes.
    assert!(yielding > 0.8 * 0.5, "{yielding}");
}

/// As many as the engine reads: nobody is put last.
#[test]
fn prompts_within_capacity() {
    let share = share_in_time(READ, Duration::from_secs(20), |begin| {
        assert!(!DRAFT.is_late(begin, READ), "{begin:?}");
        DRAFT.priority(DRAFT.place(), READ)
    });
    assert_eq!(share, 1.0);
}

/// The most urgent rank keeps its place however late it is.
#[test]
fn prompts_most_urgent_keep_their_place() {
    let question = PromptUrgency { rank: 0, ..DRAFT };
    assert!(!question.is_late(Duration::from_secs(60), READ));
}

/// A long prompt finds an idle engine: it is not put behind those that come while it is read.
#[test]
fn prompts_long_at_an_idle_engine() {
    let read = Duration::from_secs(1);
    assert!(!DRAFT.is_late(Duration::ZERO, read));
    assert!(DRAFT.is_late(Duration::from_millis(500), read));
}

#[test]
fn prompts_ordered_by_rank_then_size() {
    let question = PromptUrgency { rank: 0, ..DRAFT };
    let sizes = [
        Duration::from_millis(20),
        Duration::from_millis(300),
        Duration::from_secs(2),
    ];
    let order: Vec<u8> = [question, DRAFT]
        .iter()
        .flat_map(|urgency| sizes.map(|size| urgency.priority(urgency.place(), size)))
        .collect();
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert!(*order.last().unwrap() < LAST_PRIORITY);
}
