//! One request's claim at the ledger, from its opening to its end. The ledger decides; this waits for it, within bounds.

use super::claim_handle::ClaimHandle;
use super::claim_progress::ClaimProgress;
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordChange, ROUND_TRIP_LIMIT};
use crate::decision::{Micros, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// After this the replicas that were asked first are not waited for alone: early enough for a promise that counts.
const FIRST_REPLICAS_TIMEOUT: Duration = Duration::from_micros(ROUND_TRIP_LIMIT.0 / 5);
/// The pause before the record of a request that runs elsewhere is looked at again, in microseconds; doubled each time.
const FIRST_LOOK_PAUSE_US: u64 = 20_000;
const MAX_LOOK_PAUSE_US: u64 = 200_000;
/// Up to so much is added by chance, so that two that wait do not look in step.
const LOOK_JITTER_US: u64 = 5_000;
/// So long after the end of the owner's lease at the latest the record is looked at, in microseconds.
const AFTER_LEASE_US: u64 = 1000;

/// A request's claim. Once it is dropped, others may go on with the request.
pub struct LedgerClaim {
    cluster: Rc<ClusterTransport>,
    handle: ClaimHandle,
    progress: Rc<ClaimProgress>,
    /// How long the replicas are waited for, each time.
    timeout: Duration,
    /// The request goes on without a record.
    unprotected: Cell<bool>,
    completed: Cell<bool>,
}

impl LedgerClaim {
    /// A claim that was just opened.
    pub(super) fn new(
        cluster: Rc<ClusterTransport>,
        handle: ClaimHandle,
        progress: Rc<ClaimProgress>,
        timeout: Duration,
    ) -> LedgerClaim {
        let (unprotected, completed) = (Cell::new(false), Cell::new(false));
        LedgerClaim { cluster, handle, progress, timeout, unprotected, completed }
    }

    /// What the record says. Replicas that are slow are as good as none.
    pub async fn outcome(&self) -> ClaimOutcome {
        match self.wait_for_replicas(ClaimProgress::outcome).await {
            Some(outcome) => outcome,
            None => {
                self.go_unprotected();
                ClaimOutcome::Unavailable
            }
        }
    }

    /// Waits for the replicas, no longer than the time-out; after a part of it all others are asked.
    async fn wait_for_replicas<T>(&self, ready: impl Fn(&ClaimProgress) -> Option<T>) -> Option<T> {
        let started = Instant::now();
        let first = started + (self.timeout * 2 / 5).min(FIRST_REPLICAS_TIMEOUT);
        if let Ok(value) = timeout_at(first, self.progress.wait(&ready)).await {
            return Some(value);
        }
        self.cluster.contact_all_replicas(self.handle);
        timeout_at(started + self.timeout, self.progress.wait(&ready)).await.ok()
    }

    /// Returns when the request turns out to be another's, or to have been begun before: then the record decides.
    pub async fn overtaken(&self) {
        self.progress.wait(|progress| progress.is_overtaken().then_some(())).await;
        if self.unprotected.get() {
            // What is found out too late changes nothing any more.
            std::future::pending::<()>().await;
        }
    }

    /// Returns when another took the record over.
    pub async fn lost(&self) {
        self.progress.wait(|progress| progress.is_lost().then_some(())).await;
    }

    fn go_unprotected(&self) {
        if !self.unprotected.replace(true) {
            self.cluster.count_unprotected(self.handle);
        }
    }

    /// Writes to the record that an attempt is about to be sent to this endpoint. Returns whether it may be.
    pub async fn record_attempt(&self, endpoint: u64) -> bool {
        if self.unprotected.get() {
            return true;
        }
        match self.outcome().await {
            ClaimOutcome::Acquired { .. } => {}
            ClaimOutcome::Unavailable => {
                self.go_unprotected();
                return true;
            }
            _ => return false,
        }
        let Some(write) = self.cluster.write_claim(self.handle, RecordChange::AddAttempt(endpoint)) else {
            // Held back for too long, or more attempts than a record has room for.
            return self.may_act();
        };
        let confirmed = |progress: &ClaimProgress| match progress.is_lost() {
            true => Some(false),
            false => progress.is_confirmed(write).then_some(true),
        };
        match self.wait_for_replicas(confirmed).await {
            Some(is_own) => is_own,
            None => {
                self.cluster.count_unprotected(self.handle);
                self.may_act()
            }
        }
    }

    /// Whether something with effects outside may be done for the request now. Asked at the last moment.
    pub fn may_act(&self) -> bool {
        self.unprotected.get() || self.cluster.may_act(self.handle)
    }

    /// An attempt at this endpoint ended.
    pub fn attempt_ended(&self, endpoint: u64, outcome: Outcome) {
        if outcome.never_ran() && !self.unprotected.get() {
            self.cluster.attempt_never_ran(self.handle, endpoint);
        }
    }

    /// Leaves the request's response with the record, for clients that come again.
    pub fn complete(&self, response: &[u8]) {
        if !self.completed.replace(true) {
            self.cluster.release_claim(self.handle, Some(response.to_vec()));
        }
    }
}

impl Drop for LedgerClaim {
    fn drop(&mut self) {
        if !self.completed.get() {
            self.cluster.release_claim(self.handle, None);
        }
        self.cluster.forget_claim(self.handle);
    }
}

/// How long a request that runs elsewhere is left alone before its record is looked at again, after so many looks; the
/// owner's lease lasts for `lease_left`.
pub fn retry_pause(looks: u32, lease_left: Micros) -> Duration {
    let pause = (FIRST_LOOK_PAUSE_US << looks.min(10)).min(MAX_LOOK_PAUSE_US);
    let pause = pause.min(lease_left.0 + AFTER_LEASE_US);
    Duration::from_micros(pause + fastrand::u64(0..LOOK_JITTER_US))
}
