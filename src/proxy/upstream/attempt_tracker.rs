//! Tracks whether a request may have run, over all of its attempts.

use crate::decision::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

/// Tracks the attempts of one request and whether one of them may have run. The request may be answered before a
/// cancelled attempt has ended, so an attempt in flight counts as one that may have run.
#[derive(Debug, Default)]
pub struct AttemptTracker {
    in_flight: Cell<usize>,
    may_have_run: Cell<bool>,
    attempt_ended: Notify,
}

impl AttemptTracker {
    /// Returns a tracker without attempts. `may_have_run_before` says whether an attempt of another gateway may have
    /// run.
    pub fn new(may_have_run_before: bool) -> Rc<AttemptTracker> {
        Rc::new(AttemptTracker { may_have_run: Cell::new(may_have_run_before), ..AttemptTracker::default() })
    }

    /// Called when an attempt is about to be sent.
    pub fn attempt_started(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Called when an attempt has ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.may_have_run.set(self.may_have_run.get() || !outcome.never_ran());
        self.attempt_ended.notify_waiters();
    }

    /// Waits until all attempts have ended, for at most `limit`, and returns whether one may have run, as far as is
    /// known then.
    pub async fn may_have_run(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self.attempt_ended.notified();
            if self.in_flight.get() == 0 || timeout_at(deadline, ended).await.is_err() {
                return self.may_have_run.get() || self.in_flight.get() > 0;
            }
        }
    }
}
