//! The ledger claim of one request, from opening to release. The ledger makes the decisions; this module waits for
//! them with time-outs.

use super::claim_handle::ClaimHandle;
use super::claim_progress::ClaimProgress;
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordChange, ROUND_TRIP_LIMIT};
use crate::decision::{Micros, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Time after which all replicas are contacted, not only a first quorum. A promise counts only if it arrives within
/// `ROUND_TRIP_LIMIT`, so this has to be well below that limit.
const FIRST_REPLICAS_TIMEOUT: Duration = Duration::from_micros(ROUND_TRIP_LIMIT.0 / 5);
/// First pause between two polls of the record of a request that runs at another gateway; doubled with each poll.
const INITIAL_POLL_PAUSE_US: u64 = 20_000;
/// Maximum pause between two polls.
const MAX_POLL_PAUSE_US: u64 = 200_000;
/// Maximum random addition to a pause, so that several waiting requests do not poll in lockstep.
const POLL_JITTER_US: u64 = 5_000;
/// Time after the end of the owner's lease at which the record is polled at the latest, before jitter.
const LEASE_END_MARGIN_US: u64 = 1000;

/// How giving a record up ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseResult {
    /// A quorum has confirmed it: no other gateway will continue the request.
    Confirmed,
    /// Another owner has taken over the record.
    Lost {
        /// Whether the request was completed under this claim, which replicas may go on reporting.
        completed: bool,
    },
    /// The claim may not write the record.
    NotWritten,
}

/// The ledger claim of a request. Dropping it releases the record, so that another gateway may continue the request.
pub struct LedgerClaim {
    cluster: Rc<ClusterTransport>,
    handle: ClaimHandle,
    progress: Rc<ClaimProgress>,
    /// Time-out of each wait for the replicas.
    timeout: Duration,
    /// Whether the request continues without a record.
    unprotected: Cell<bool>,
    /// Whether the response was stored in the record.
    completed: Cell<bool>,
    /// Number of the write with which the record was completed or released.
    last_write: Cell<Option<u32>>,
}

impl LedgerClaim {
    /// Creates the claim for a handle that was just opened.
    pub(super) fn new(
        cluster: Rc<ClusterTransport>,
        handle: ClaimHandle,
        progress: Rc<ClaimProgress>,
        timeout: Duration,
    ) -> LedgerClaim {
        let (unprotected, completed) = (Cell::new(false), Cell::new(false));
        LedgerClaim {
            cluster,
            handle,
            progress,
            timeout,
            unprotected,
            completed,
            last_write: Cell::new(None),
        }
    }

    /// Waits for the result of the claim. If the replicas do not reply within the time-out, the result is
    /// `Unavailable`.
    pub async fn outcome(&self) -> ClaimOutcome {
        match self.wait_for_replicas(ClaimProgress::outcome).await {
            Some(outcome) => outcome,
            None => {
                self.mark_unprotected();
                ClaimOutcome::Unavailable
            }
        }
    }

    /// Waits until `ready` returns a value, up to the time-out. All replicas are contacted after a part of that time.
    async fn wait_for_replicas<T>(&self, ready: impl Fn(&ClaimProgress) -> Option<T>) -> Option<T> {
        let started = Instant::now();
        let contact_all_at = started + (self.timeout * 2 / 5).min(FIRST_REPLICAS_TIMEOUT);
        if let Ok(value) = timeout_at(contact_all_at, self.progress.wait(&ready)).await {
            return Some(value);
        }
        self.cluster.contact_all_replicas(self.handle);
        timeout_at(started + self.timeout, self.progress.wait(&ready)).await.ok()
    }

    /// Waits until the ledger reports that the record belongs to another owner or existed before this claim. The
    /// request then has to follow the record.
    pub async fn wait_for_conflict(&self) {
        self.progress.wait(|progress| progress.has_conflict().then_some(())).await;
        if self.unprotected.get() {
            // The request already continues without a record, so a late reply must not stop it.
            std::future::pending::<()>().await;
        }
    }

    /// Waits until another owner takes over the record.
    pub async fn wait_until_lost(&self) {
        self.progress.wait(|progress| progress.is_lost().then_some(())).await;
    }

    /// Waits until other gateways may act for this one: another owner takes over the record, or the lease of this one has
    /// ended. As long as no write was sent, none may.
    pub async fn wait_until_lapsed(&self) {
        loop {
            self.progress.wait(|progress| (progress.is_lost() || progress.has_writes()).then_some(())).await;
            let Some(lease_end) = self.cluster.lease_end(self.handle) else { return };
            if lease_end <= Instant::now() {
                return;
            }
            tokio::select! {
                () = self.wait_until_lost() => return,
                () = sleep_until(lease_end) => {}
            }
        }
    }

    fn mark_unprotected(&self) {
        if !self.unprotected.replace(true) {
            self.cluster.count_unprotected(self.handle);
        }
    }

    /// Writes to the record that an attempt is about to be sent to this endpoint. Returns whether the attempt may be
    /// sent.
    pub async fn record_attempt(&self, endpoint: u64) -> bool {
        if self.unprotected.get() {
            return true;
        }
        match self.outcome().await {
            ClaimOutcome::Acquired { .. } => {}
            ClaimOutcome::Unavailable => {
                self.mark_unprotected();
                return true;
            }
            _ => return false,
        }
        let Some(write) = self.write(RecordChange::AddAttempt(endpoint)) else {
            // The promise has expired, or the record already lists the maximum number of attempts.
            return self.may_act();
        };
        match self.wait_for_replicas(|progress| progress.write_result(write)).await {
            Some(may_send) => may_send,
            None => {
                self.cluster.count_unprotected(self.handle);
                self.may_act()
            }
        }
    }

    /// Whether this gateway may act for the request now. Called immediately before each action with external effects.
    pub fn may_act(&self) -> bool {
        self.unprotected.get() || self.cluster.may_act(self.handle)
    }

    fn write(&self, change: RecordChange) -> Option<u32> {
        let write = self.cluster.write_claim(self.handle, change)?;
        self.progress.write_sent();
        Some(write)
    }

    /// Whether the claim has acquired a record that earlier owners have written.
    pub fn has_earlier_writes(&self) -> bool {
        matches!(self.progress.outcome(), Some(ClaimOutcome::Acquired { existed: true, .. }))
    }

    /// Whether another gateway may know of the request from its record.
    pub fn has_writes(&self) -> bool {
        self.progress.has_writes()
    }

    /// Gives the record up, unless it was completed, so that no other gateway continues the request. Returns once a quorum
    /// has confirmed that, or can't any more.
    pub async fn confirm_release(&self) -> ReleaseResult {
        let write = self.last_write.get().or_else(|| self.write(RecordChange::Release));
        self.last_write.set(write);
        let Some(write) = write else { return ReleaseResult::NotWritten };
        match self.progress.wait(|progress| progress.write_result(write)).await {
            true => ReleaseResult::Confirmed,
            false => ReleaseResult::Lost { completed: self.completed.get() },
        }
    }

    /// Called when an attempt at this endpoint has ended. Removes the attempt from the record if it never ran.
    pub fn attempt_ended(&self, endpoint: u64, outcome: Outcome) {
        if outcome.never_ran() && !self.unprotected.get() {
            self.cluster.remove_attempt(self.handle, endpoint);
        }
    }

    /// Stores the response in the record, so that a retry of the client gets the same response.
    pub fn complete(&self, response: &[u8]) {
        // Without a write, the request has run without a record.
        if !self.completed.replace(true) && self.progress.has_writes() {
            self.last_write.set(self.write(RecordChange::Complete(response.to_vec())));
        }
    }
}

impl Drop for LedgerClaim {
    fn drop(&mut self) {
        match self.last_write.get() {
            Some(_) => self.cluster.close_claim(self.handle),
            None => self.cluster.release_claim(self.handle),
        }
        self.cluster.remove_claim(self.handle);
    }
}

/// Pause before the record of a request that runs at another gateway is polled again. The owner's lease ends in
/// `remaining_lease`.
pub fn poll_pause(earlier_polls: u32, remaining_lease: Micros) -> Duration {
    let pause = (INITIAL_POLL_PAUSE_US << earlier_polls.min(10)).min(MAX_POLL_PAUSE_US);
    let pause = pause.min(remaining_lease.0 + LEASE_END_MARGIN_US);
    Duration::from_micros(pause + fastrand::u64(0..POLL_JITTER_US))
}
