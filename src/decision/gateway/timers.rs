//! Timers of a gateway.

use crate::decision::ids::{RequestId, TimerId};
use std::collections::BTreeMap;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// The deadline of a request is due.
    Deadline(RequestId),
    /// Queued requests are due to be tried again.
    ServeQueue,
    /// The gateway is due to subscribe to the endpoint list again.
    Resubscribe,
    EvictIdleCustomers,
}

/// Timers that are set and have not fired.
#[derive(Debug, Default)]
pub(super) struct Timers {
    last_id: u64,
    set: BTreeMap<TimerId, Timer>,
}

impl Timers {
    /// Registers a timer and returns its identifier.
    pub(super) fn set(&mut self, timer: Timer) -> TimerId {
        self.last_id += 1;
        let id = TimerId(self.last_id);
        self.set.insert(id, timer);
        id
    }

    /// Forgets a timer that is no longer needed. Its expiry is then without effect.
    pub(super) fn cancel(&mut self, id: TimerId) {
        self.set.remove(&id);
    }

    /// Removes the timer that fired and returns its purpose; `None`: this gateway did not set it, or it fired before.
    pub(super) fn fired(&mut self, id: TimerId) -> Option<Timer> {
        self.set.remove(&id)
    }
}
