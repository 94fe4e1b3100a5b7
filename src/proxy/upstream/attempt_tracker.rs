//! Whether a request may have run, over all of its attempts.

use crate::decision::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// The attempts of one request, as far as they may have run. The request may have its response before the end of an
/// attempt that is cancelled: what is in flight may run as well.
#[derive(Debug, Default)]
pub struct AttemptTracker {
    in_flight: Cell<usize>,
    may_have_run: Cell<bool>,
    attempt_ended: Notify,
}

impl AttemptTracker {
    /// No attempt yet; whether one of another gateway may have run before.
    pub fn new(may_have_run_before: bool) -> Rc<AttemptTracker> {
        Rc::new(AttemptTracker { may_have_run: Cell::new(may_have_run_before), ..AttemptTracker::default() })
    }

    /// An attempt is about to be sent.
    pub fn attempt_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.may_have_run.set(self.may_have_run.get() || !outcome.never_ran());
        self.attempt_ended.notify_waiters();
    }

    /// Waits until all attempts have ended, no longer than `limit`, and returns whether one may have run as far as is
    /// known then.
    pub async fn may_have_run(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            let ended = self.attempt_ended.notified();
            if self.in_flight.get() == 0 || timeout_at(until, ended).await.is_err() {
                return self.may_have_run.get() || self.in_flight.get() > 0;
            }
        }
    }
}
