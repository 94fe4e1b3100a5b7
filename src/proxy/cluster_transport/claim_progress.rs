//! What is known so far of one claim at the ledger.

use crate::cluster::ledger::ClaimOutcome;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// What is known so far of one claim.
#[derive(Default)]
pub struct ClaimProgress {
    /// The first outcome, and after it the loss of the record.
    outcome: RefCell<Option<ClaimOutcome>>,
    /// The last write of the record that its replicas have confirmed.
    confirmed_write: Cell<u32>,
    changed: Notify,
}

impl ClaimProgress {
    /// Notes what the ledger says of the claim.
    pub fn resolve(&self, outcome: ClaimOutcome) {
        match outcome {
            ClaimOutcome::Confirmed(write) => {
                self.confirmed_write.set(write.max(self.confirmed_write.get()));
            }
            outcome => *self.outcome.borrow_mut() = Some(outcome),
        }
        self.changed.notify_waiters();
    }

    /// The outcome, if there is one.
    pub fn outcome(&self) -> Option<ClaimOutcome> {
        self.outcome.borrow().clone()
    }

    /// Another took the record over.
    pub fn is_lost(&self) -> bool {
        matches!(&*self.outcome.borrow(), Some(ClaimOutcome::Lost))
    }

    /// The request is another's, or was begun before.
    pub fn is_overtaken(&self) -> bool {
        !matches!(
            &*self.outcome.borrow(),
            None | Some(ClaimOutcome::Unavailable | ClaimOutcome::Acquired { existed: false, .. })
        )
    }

    /// The replicas have confirmed this write of the record.
    pub fn is_confirmed(&self, write: u32) -> bool {
        self.confirmed_write.get() >= write
    }

    /// Waits until `ready` returns something.
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
