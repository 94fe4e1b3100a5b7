//! The timers that a gateway has set.

use crate::decision::ids::{RequestId, TimerId};
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// The request must have its answer.
    Deadline(RequestId),
    /// Queued requests are tried again.
    ServeQueue,
    /// The watch on the endpoint list is opened again.
    Resubscribe,
    ForgetIdleCustomers,
}

/// The timers that have not fired, by number.
#[derive(Debug, Default)]
pub(super) struct Timers {
    last_number: u64,
    set: BTreeMap<TimerId, Timer>,
}

impl Timers {
    /// Remembers a timer.
    pub(super) fn set(&mut self, timer: Timer) -> TimerId {
        self.last_number += 1;
        let id = TimerId(self.last_number);
        self.set.insert(id, timer);
        id
    }

    /// What the timer that fired was for; `None`: this gateway did not set it, or it fired before.
    pub(super) fn fired(&mut self, id: TimerId) -> Option<Timer> {
        self.set.remove(&id)
    }
}
