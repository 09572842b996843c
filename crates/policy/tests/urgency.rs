//! Prompts that arrive faster than an engine reads them: who is read, and who is late.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    LOWEST_PRIORITY,
    PromptUrgency, //
};

const DRAFT: PromptUrgency = PromptUrgency {
    rank: 1,
    target: Duration::from_millis(800),
};
/// Time in which the engine reads one draft's prompt.
const PREFILL: Duration = Duration::from_millis(120);

#[derive(Debug, Clone, Copy)]
struct QueuedPrompt {
    arrived: Duration,
    priority: u8,
}

/// Drafts that came within a burst and were read in time, of all that came in it. The engine reads
/// one prompt after another, by priority and then in the order of arrival.
fn on_time_share(pause: Duration, burst: Duration, decide: impl Fn(Duration) -> u8) -> f64 {
    let mut queue: Vec<QueuedPrompt> = Vec::new();
    let (mut clock, mut next) = (Duration::ZERO, Duration::ZERO);
    let (mut arrived, mut on_time) = (0, 0);
    while next < burst || !queue.is_empty() {
        while next <= clock && next < burst {
            let ahead = queue
                .iter()
                .filter(|prompt| prompt.priority != LOWEST_PRIORITY);
            let wait = PREFILL * ahead.count() as u32 + (clock - next);
            queue.push(QueuedPrompt {
                arrived: next,
                priority: decide(wait),
            });
            arrived += 1;
            next += pause;
        }
        if queue.is_empty() {
            clock = next;
            continue;
        }
        let first = (0..queue.len()).min_by_key(|at| (queue[*at].priority, queue[*at].arrived));
        let prompt = queue.remove(first.unwrap());
        clock += PREFILL;
        on_time += u32::from(clock - prompt.arrived <= DRAFT.target);
    }
    f64::from(on_time) / f64::from(arrived)
}

fn choose_priority(prefill_start: Duration) -> u8 {
    DRAFT.priority(DRAFT.position_at(prefill_start, PREFILL), PREFILL)
}

/// Twice as many drafts as the engine reads, for as long as queues grow far beyond the target: a
/// fixed order makes all of them late once the queue is that long.
#[test]
fn prompt_urgency_overload_of_one_rank() {
    let pause = PREFILL / 2;
    let burst = Duration::from_secs(20);
    let fixed = on_time_share(pause, burst, |_| DRAFT.priority(DRAFT.position(), PREFILL));
    let deferring = on_time_share(pause, burst, choose_priority);
    assert!(fixed < 0.1, "{fixed}");
    // The engine reads half of what comes.
    assert!(deferring > 0.8 * 0.5, "{deferring}");
}

/// As many as the engine reads: nobody is put last.
#[test]
fn prompt_urgency_load_at_capacity() {
    let share = on_time_share(PREFILL, Duration::from_secs(20), |prefill_start| {
        assert!(
            !DRAFT.will_miss_target(prefill_start, PREFILL),
            "{prefill_start:?}"
        );
        DRAFT.priority(DRAFT.position(), PREFILL)
    });
    assert_eq!(share, 1.0);
}

/// The most urgent rank keeps its place however late it is.
#[test]
fn prompt_urgency_most_urgent_rank_keeps_position() {
    let question = PromptUrgency { rank: 0, ..DRAFT };
    assert!(!question.will_miss_target(Duration::from_secs(60), PREFILL));
}

/// A long prompt finds an idle engine: it is not put behind those that come while it is read.
#[test]
fn prompt_urgency_long_prompt_on_idle_engine() {
    let prefill_time = Duration::from_secs(1);
    assert!(!DRAFT.will_miss_target(Duration::ZERO, prefill_time));
    assert!(DRAFT.will_miss_target(Duration::from_millis(500), prefill_time));
}

#[test]
fn prompt_urgency_order_by_rank_then_size() {
    let question = PromptUrgency { rank: 0, ..DRAFT };
    let sizes = [
        Duration::from_millis(20),
        Duration::from_millis(300),
        Duration::from_secs(2),
    ];
    let order: Vec<u8> = [question, DRAFT]
        .iter()
        .flat_map(|urgency| sizes.map(|size| urgency.priority(urgency.position(), size)))
        .collect();
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
    assert!(*order.last().unwrap() < LOWEST_PRIORITY);
}
