//! The event queue of the simulation, ordered by time. Events of the same time are taken in the order in which they
//! were scheduled, so the order does not depend on the heap.

use super::happening::SimEvent;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Pending events by time. The size is bounded by a fixed number of events for each open request, replica, server and
/// fault.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a point of virtual time.
    pub fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    /// Removes and returns the earliest event.
    pub fn next(&mut self) -> Option<(Duration, SimEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }

    /// Count of pending events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
