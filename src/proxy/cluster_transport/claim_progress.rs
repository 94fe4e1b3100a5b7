//! State of one ledger claim, as far as the ledger has reported it.

use crate::cluster::ledger::ClaimOutcome;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// State of one ledger claim, and notification of its changes.
#[derive(Default)]
pub struct ClaimProgress {
    /// Result of the claim; replaced by `Lost` if another owner takes over the record later.
    outcome: RefCell<Option<ClaimOutcome>>,
    /// Whether a write of the record was sent to its replicas.
    has_writes: Cell<bool>,
    /// Highest number of a write that a quorum of the replicas has confirmed; 0: none.
    confirmed_write: Cell<u32>,
    changed: Notify,
}

impl ClaimProgress {
    /// Records an outcome that the ledger reported.
    pub fn resolve(&self, outcome: ClaimOutcome) {
        match outcome {
            ClaimOutcome::Confirmed(write) => {
                self.confirmed_write.set(write.max(self.confirmed_write.get()));
            }
            outcome => *self.outcome.borrow_mut() = Some(outcome),
        }
        self.changed.notify_waiters();
    }

    /// Returns the result of the claim, if it is known.
    pub fn outcome(&self) -> Option<ClaimOutcome> {
        self.outcome.borrow().clone()
    }

    /// Whether another owner took over the record.
    pub fn is_lost(&self) -> bool {
        matches!(&*self.outcome.borrow(), Some(ClaimOutcome::Lost))
    }

    /// Whether the record belongs to another owner, or existed before this claim.
    pub fn has_conflict(&self) -> bool {
        !matches!(
            &*self.outcome.borrow(),
            None | Some(ClaimOutcome::Unavailable | ClaimOutcome::Acquired { existed: false, .. })
        )
    }

    /// Returns whether a quorum of the replicas has confirmed this write of the record, or `None` as long as that is open.
    pub fn write_result(&self, write: u32) -> Option<bool> {
        match self.is_lost() {
            true => Some(false),
            false => (self.confirmed_write.get() >= write).then_some(true),
        }
    }

    /// Records that a write of the record was sent to its replicas.
    pub fn write_sent(&self) {
        self.has_writes.set(true);
        self.changed.notify_waiters();
    }

    /// Whether a write of the record was sent to its replicas, any of which may have accepted it.
    pub fn has_writes(&self) -> bool {
        self.has_writes.get()
    }

    /// Waits until `ready` returns a value, and returns it.
    pub async fn wait<T>(&self, ready: impl Fn(&ClaimProgress) -> Option<T>) -> T {
        loop {
            let changed = self.changed.notified();
            if let Some(value) = ready(self) {
                return value;
            }
            changed.await;
        }
    }
}
