//! Events of a run in the order of their time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use policy::LoadReport;
use tokio::time::Instant;

/// What happens.
#[derive(Debug, Clone)]
pub(crate) enum SimEvent {
    ArriveAtEntry(usize),
    /// A job reaches an engine's side process.
    ReachEngine {
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
    DeliverReport {
        engine: usize,
        measured_at: Instant,
        report: Box<LoadReport>,
    },
    PlanRoles,
    Crash(usize),
    /// The streams of an engine have had their time before a role change.
    RoleChangeDeadline(usize),
    Drain(usize),
    Undrain(usize),
    DropCaches,
}

struct TimedEvent {
    at: Instant,
    sequence: u64,
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
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The earliest event first; those of one time in the order in which they were added.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<TimedEvent>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Instant, event: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(TimedEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, SimEvent)> {
        let timed = self.heap.pop()?;
        Some((timed.at, timed.event))
    }
}
