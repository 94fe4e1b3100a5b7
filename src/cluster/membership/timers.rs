//! The membership protocol's timers, by the clock of the time awake.

use crate::cluster::membership::identity::Identity;
use crate::decision::Micros;
use foca::Timer;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

/// A timer of the protocol.
struct ScheduledTimer {
    due_at: Micros,
    /// Tells timers that are due at one time in the order in which they were set.
    serial: u64,
    timer: Timer<Identity>,
}

impl Ord for ScheduledTimer {
    /// The earliest is the greatest, as a heap yields its greatest entry first.
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

/// When a member that is down or gone is forgotten.
struct Removal {
    due_at: Micros,
    identity: Identity,
}

/// All timers that are set.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<ScheduledTimer>,
    last_serial: u64,
    /// At most one for each name: a member that goes down again and again must not fill the memory.
    removals: BTreeMap<Rc<str>, Removal>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn schedule(&mut self, due_at: Micros, timer: Timer<Identity>) {
        self.last_serial += 1;
        self.timers.push(ScheduledTimer { due_at, serial: self.last_serial, timer });
    }

    /// Sets when a member that is down is forgotten; a later one under the same name takes its place.
    pub fn schedule_removal(&mut self, due_at: Micros, identity: Identity) {
        self.removals.insert(identity.name.clone(), Removal { due_at, identity });
    }

    /// The next timer that is due.
    pub fn pop_due(&mut self, awake: Micros) -> Option<Timer<Identity>> {
        let next = self.timers.peek()?;
        if next.due_at > awake {
            return None;
        }
        self.timers.pop().map(|scheduled| scheduled.timer)
    }

    /// Takes out the members that are due to be forgotten, by name.
    pub fn take_due_removals(&mut self, awake: Micros) -> Vec<Identity> {
        let is_due = |removal: &Removal| removal.due_at <= awake;
        let due: Vec<Identity> =
            self.removals.values().filter(|r| is_due(r)).map(|r| r.identity.clone()).collect();
        self.removals.retain(|_, removal| !is_due(removal));
        due
    }
}
