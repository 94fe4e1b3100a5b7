//! A queue of events under virtual time, ordered by due time.

use quota_gateway::cluster::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event with its due time. Events with equal due times are ordered by when they were scheduled.
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

/// A queue of events, ordered by due time.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled_count: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), scheduled_count: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at `due_at`.
    pub fn schedule(&mut self, due_at: Micros, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(Scheduled { due_at, serial: self.scheduled_count, event }));
    }

    /// Returns the number of events scheduled so far.
    pub fn scheduled_count(&self) -> u64 {
        self.scheduled_count
    }

    /// Removes and returns the next event with its due time, if it is due at `until` or before.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, E)> {
        let Reverse(next) = self.heap.peek()?;
        if next.due_at > until {
            return None;
        }
        self.heap.pop().map(|Reverse(next)| (next.due_at, next.event))
    }
}
