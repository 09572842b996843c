//! Events of a run in the order of their time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use policy::LoadReport;
use tokio::time::Instant;

/// What happens.
#[derive(Debug, Clone)]
pub(crate) enum SimEvent {
    Arrive(usize),
    /// A job reaches an engine's side process.
    Reach {
        job: usize,
        engine: usize,
    },
    /// A job comes back to its entry and needs another engine.
    Reroute(usize),
    StepEnd {
        engine: usize,
        generation: u64,
    },
    SendReport(usize),
    TakeReport {
        engine: usize,
        measured: Instant,
        report: Box<LoadReport>,
    },
    Plan,
    Crash(usize),
    /// The streams of an engine have had their time before a role change.
    ChangeDue(usize),
    Drain(usize),
    Restore(usize),
    LoseCaches,
}

struct TimedEvent {
    at: Instant,
    order: u64,
    event: SimEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// The earliest event first; those of one time in the order in which they were added.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<TimedEvent>,
    added: u64,
}

impl EventQueue {
    pub(crate) fn add(&mut self, at: Instant, event: SimEvent) {
        self.added += 1;
        self.heap.push(TimedEvent {
            at,
            order: self.added,
            event,
        });
    }

    pub(crate) fn next(&mut self) -> Option<(Instant, SimEvent)> {
        let timed = self.heap.pop()?;
        Some((timed.at, timed.event))
    }
}
