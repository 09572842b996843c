//! Prefill order of prompts by rank, size and expected lateness, including under overload.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use policy::{
    LOWEST_PRIORITY,
    PromptUrgency,
    QueuePosition, //
};

const DRAFT: PromptUrgency = PromptUrgency {
    rank: 1,
    target: Duration::from_millis(800),
};
/// Prefill time of one draft prompt.
const PREFILL: Duration = Duration::from_millis(120);

#[derive(Debug, Clone, Copy)]
struct QueuedPrompt {
    arrived: Duration,
    priority: u8,
}

/// Simulates a burst of draft prompts that arrive at fixed intervals, and returns the share that is
/// prefilled within the target. The engine prefills one prompt at a time, by priority and then in
/// order of arrival.
fn on_time_share(gap: Duration, burst: Duration, decide: impl Fn(Duration) -> u8) -> f64 {
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
            next += gap;
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

/// Guards against all prompts missing their target under overload. Drafts arrive at twice the rate
/// that the engine can prefill, for long enough that the queue grows far beyond the target. With
/// fixed priorities, nearly every prompt is then late.
#[test]
fn prompt_urgency_overload_of_one_rank() {
    let gap = PREFILL / 2;
    let burst = Duration::from_secs(20);
    let fixed = on_time_share(gap, burst, |_| DRAFT.priority(DRAFT.position(), PREFILL));
    let deferring = on_time_share(gap, burst, choose_priority);
    assert!(fixed < 0.1, "{fixed}");
    // The engine can prefill half of the arriving prompts.
    assert!(deferring > 0.8 * 0.5, "{deferring}");
}

/// Guards against resumed streams that are prefilled after all new prompts under overload, until their
/// callers have left with a part of their answers.
#[test]
fn resumed_position_overload_of_one_rank() {
    let waited = Duration::from_secs(3);
    assert_eq!(DRAFT.position_at(waited, PREFILL), QueuePosition::LAST);
    let resumed = DRAFT.resumed_position();
    assert_eq!(resumed, DRAFT.position());
    assert!(DRAFT.priority(resumed, PREFILL) < LOWEST_PRIORITY);
    let question = PromptUrgency { rank: 0, ..DRAFT };
    assert!(question.position() < resumed);
}

/// No prompt goes last while prompts arrive at the rate that the engine can prefill.
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

/// Prompts of the most urgent rank keep their position, however late they are.
#[test]
fn prompt_urgency_most_urgent_rank_keeps_position() {
    let question = PromptUrgency { rank: 0, ..DRAFT };
    assert!(!question.will_miss_target(Duration::from_secs(60), PREFILL));
}

/// A long prompt on an idle engine must not go last behind prompts that arrive during its prefill.
#[test]
fn prompt_urgency_long_prompt_on_idle_engine() {
    let prefill_time = Duration::from_secs(1);
    assert!(!DRAFT.will_miss_target(Duration::ZERO, prefill_time));
    assert!(DRAFT.will_miss_target(Duration::from_millis(500), prefill_time));
}

/// Prefill time of a short question, and the target of its callers, who leave if it has not started
/// after a while.
const QUESTION_PREFILL: Duration = Duration::from_millis(8);
const QUESTION: PromptUrgency = PromptUrgency {
    rank: 1,
    target: Duration::from_millis(250),
};
const QUESTION_LEAVE_TIME: Duration = Duration::from_secs(2);

/// Shares of drafts that are prefilled within their target and of questions that start before their
/// callers leave. Drafts arrive faster than the engine can prefill them, and of four prompts one is a question.
fn shares_beside_questions(
    decide: impl Fn(PromptUrgency, Duration, Duration, Duration) -> QueuePosition,
) -> (f64, f64) {
    let mut queue: Vec<(QueuePosition, Duration, Duration)> = Vec::new();
    let (mut clock, mut arrived) = (Duration::ZERO, Vec::new());
    for number in 0..400_u32 {
        let (urgency, prefill) = match number % 4 {
            0 => (QUESTION, QUESTION_PREFILL),
            _ => (DRAFT, PREFILL),
        };
        arrived.push((PREFILL * number * 3 / 5, urgency, prefill));
    }
    let (mut drafts, mut questions) = (0, 0);
    let mut next = arrived.into_iter().peekable();
    while next.peek().is_some() || !queue.is_empty() {
        while let Some((at, urgency, prefill)) = next.next_if(|(at, ..)| *at <= clock) {
            let ahead = queue
                .iter()
                .filter(|queued| queued.0 != QueuePosition::LAST);
            let wait = ahead.map(|queued| queued.2).sum::<Duration>() + (clock - at);
            let all: Duration = queue.iter().map(|queued| queued.2).sum();
            let mean = all / queue.len().max(1) as u32;
            queue.push((decide(urgency, wait, prefill, mean), at, prefill));
        }
        // Callers of questions that have not started leave.
        queue.retain(|(_, at, prefill)| {
            *prefill != QUESTION_PREFILL || clock - *at < QUESTION_LEAVE_TIME
        });
        if queue.is_empty() {
            clock = next.peek().map_or(clock, |(at, ..)| clock.max(*at));
            continue;
        }
        let first = (0..queue.len()).min_by_key(|at| (queue[*at].0, queue[*at].1));
        let (_, at, prefill) = queue.remove(first.unwrap());
        clock += prefill;
        match prefill == QUESTION_PREFILL {
            true => questions += 1,
            false => drafts += u32::from(clock - at <= DRAFT.target),
        }
    }
    (f64::from(drafts) / 300.0, f64::from(questions) / 100.0)
}

/// Guards against short prompts that wait behind all long ones until their callers leave, while long ones
/// of the same rank arrive faster than the engine can prefill them.
#[test]
fn position_among_overload_of_long_prompts() {
    let (drafts_before, questions_before) =
        shares_beside_questions(|urgency, wait, prefill, _| urgency.position_at(wait, prefill));
    let (drafts, questions) = shares_beside_questions(PromptUrgency::position_among);
    assert!(questions_before < 0.5, "{questions_before}");
    assert!(questions > 0.95, "{questions}");
    assert!(drafts > drafts_before - 0.05, "{drafts} of {drafts_before}");
}

/// Guards against short prompts that all keep their position, and are all late, where they are the overload.
#[test]
fn position_among_overload_of_one_size() {
    let share = on_time_share(PREFILL / 2, Duration::from_secs(20), |start| {
        let position = DRAFT.position_among(start, PREFILL, PREFILL);
        DRAFT.priority(position, PREFILL)
    });
    // The engine can prefill half of the arriving prompts.
    assert!(share > 0.8 * 0.5, "{share}");
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
