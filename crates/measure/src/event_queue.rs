//! Simulation events, ordered by time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use policy::LoadReport;
use tokio::time::Instant;

/// Event of a simulation; jobs and engines are given by their index.
#[derive(Debug, Clone)]
pub(crate) enum SimEvent {
    /// A new job arrives at its entry.
    ArriveAtEntry(usize),
    /// A job reaches the engine that was selected for it.
    ReachEngine { job: usize, engine: usize },
    /// A job is back at its entry, which selects another engine.
    Reroute(usize),
    /// An engine ends a step.
    StepEnd {
        engine: usize,
        /// Number of the step; the event is ignored if the engine has abandoned that step.
        generation: u64,
    },
    /// An engine sends its load report to the routers.
    SendReport(usize),
    /// A load report reaches the routers.
    DeliverReport {
        engine: usize,
        measured_at: Instant,
        report: Box<LoadReport>,
    },
    /// The planner considers a role change.
    PlanRoles,
    /// An engine crashes.
    Crash(usize),
    /// An engine changes its role even if jobs are still running.
    RoleChangeDeadline(usize),
    /// An engine stops accepting jobs.
    Drain(usize),
    /// A drained engine accepts jobs again.
    Undrain(usize),
    /// Some engines lose their prefix caches.
    DropCaches,
}

/// Event with its time and its position among the events pushed.
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
    // Reversed, since `BinaryHeap` pops its greatest element.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Priority queue that returns the earliest event first, and events of the same time in the order
/// of their insertion.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<TimedEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: Instant, event: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(TimedEvent {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(Instant, SimEvent)> {
        let timed = self.heap.pop()?;
        Some((timed.at, timed.event))
    }
}
