//! Timers of the decision module.

use crate::decision::{Micros, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers, ordered by the time at which they fire.
#[derive(Default)]
pub(super) struct Timers(BinaryHeap<Reverse<(Micros, TimerId)>>);

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, timer: TimerId) {
        self.0.push(Reverse((at, timer)));
    }

    /// Returns when the next timer fires.
    pub fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer whose time has come.
    pub fn pop_fired(&mut self, now: Micros) -> Option<TimerId> {
        match self.next_at() {
            Some(at) if at <= now => self.0.pop().map(|Reverse((_, timer))| timer),
            _ => None,
        }
    }
}
