//! Timers of the membership protocol, in protocol time.

use crate::cluster::membership::identity::Identity;
use crate::decision::Micros;
use foca::Timer;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

/// A timer of the protocol and its due time.
struct ScheduledTimer {
    due_at: Micros,
    /// Orders timers with the same due time by the order in which they were set.
    serial: u64,
    timer: Timer<Identity>,
}

impl Ord for ScheduledTimer {
    /// The earliest timer compares as the greatest, because a heap yields its greatest entry first.
    fn cmp(&self, other: &ScheduledTimer) -> Ordering {
        (other.due_at, other.serial).cmp(&(self.due_at, self.serial))
    }
}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &ScheduledTimer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &ScheduledTimer) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledTimer {}

/// Removal of a member that is down or has left.
struct Removal {
    due_at: Micros,
    identity: Identity,
}

/// All pending timers.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<ScheduledTimer>,
    last_serial: u64,
    /// At most one removal for each name, so that a member that goes down repeatedly does not exhaust the memory.
    removals: BTreeMap<Rc<str>, Removal>,
}

impl TimerQueue {
    /// Schedules a timer.
    pub fn schedule(&mut self, due_at: Micros, timer: Timer<Identity>) {
        self.last_serial += 1;
        self.timers.push(ScheduledTimer { due_at, serial: self.last_serial, timer });
    }

    /// Schedules the removal of a member that is down or has left, replacing an earlier removal of the same name.
    pub fn schedule_removal(&mut self, due_at: Micros, identity: Identity) {
        self.removals.insert(identity.name.clone(), Removal { due_at, identity });
    }

    /// Removes and returns the next due timer.
    pub fn pop_due(&mut self, protocol_time: Micros) -> Option<Timer<Identity>> {
        let next = self.timers.peek()?;
        if next.due_at > protocol_time {
            return None;
        }
        self.timers.pop().map(|scheduled| scheduled.timer)
    }

    /// Removes and returns the members that are due for removal, ordered by name.
    pub fn take_due_removals(&mut self, protocol_time: Micros) -> Vec<Identity> {
        let is_due = |removal: &Removal| removal.due_at <= protocol_time;
        let due: Vec<Identity> =
            self.removals.values().filter(|r| is_due(r)).map(|r| r.identity.clone()).collect();
        self.removals.retain(|_, removal| !is_due(removal));
        due
    }
}
