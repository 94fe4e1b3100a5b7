//! Events under virtual time, in the order in which they are due.

use quota_gateway::cluster::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event, and when it is due. Of two that are due at one time the one that was scheduled first comes first.
struct Scheduled<E> {
    due_at: Micros,
    serial: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> Ordering {
        (self.due_at, self.serial).cmp(&(other.due_at, other.serial))
    }
}

/// A queue of events.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, due_at: Micros, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { due_at, serial: self.scheduled, event }));
    }

    /// How many events were ever scheduled.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// The next event, if it is due by then, and when it is due.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, E)> {
        let Reverse(next) = self.heap.peek()?;
        if next.due_at > until {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.due_at, next.event))
    }
}
