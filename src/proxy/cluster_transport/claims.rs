//! Ledger claims: how requests open, write and release them.

use super::claim_handle::ClaimHandle;
use super::claim_progress::ClaimProgress;
use super::ledger_claim::LedgerClaim;
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimId, RecordChange, RecordId};
use crate::cluster::{ClusterNode, Effect, Micros};
use std::rc::Rc;
use tokio::time::Instant;

impl ClusterTransport {
    /// Whether this gateway has a ledger.
    pub fn has_ledger(&self) -> bool {
        self.config.settings.ledger.is_some()
    }

    /// Whether abandoned requests of this class are finished: the gateway that owned the request has failed, and its
    /// client has not retried.
    pub fn finishes_abandoned(&self, class: &str) -> bool {
        self.config.finish_classes.iter().any(|name| name == class)
    }

    /// Counts an abandoned request that this gateway finished or could not finish.
    pub fn count_abandoned(&self, finished: bool) {
        let count = if finished { &self.abandoned_finished } else { &self.abandoned_not_finished };
        count.set(count.get() + 1);
    }

    /// Claims the record of a request; `request` is stored at the record's replicas. Returns `None` if this process
    /// does not participate in the cluster or has too many open claims.
    pub fn claim(
        self: &Rc<ClusterTransport>,
        id: RecordId,
        digest: u64,
        request: Option<Vec<u8>>,
    ) -> Option<Rc<LedgerClaim>> {
        let mut effects = Vec::new();
        let claim = self.open_claim(id, digest, request, &mut effects)?;
        let progress = Rc::new(ClaimProgress::default());
        self.claims.borrow_mut().insert(claim, progress.clone());
        self.perform(effects);
        let handle = ClaimHandle { participation: self.participation.get(), id: claim };
        Some(Rc::new(LedgerClaim::new(self.clone(), handle, progress, self.config.ledger_timeout)))
    }

    fn open_claim(
        &self,
        id: RecordId,
        digest: u64,
        request: Option<Vec<u8>>,
        effects: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let mut node = self.node.borrow_mut();
        let node = node.as_mut()?;
        let claim = node.open_claim(self.clock.now(), id, digest, effects)?;
        if let Some(request) = request {
            node.attach_request(claim, request);
            // Where others may act for this gateway once its lease ends, the failure of one replica must not end it.
            node.contact_all_replicas(self.clock.now(), claim, effects);
        }
        Some(claim)
    }

    /// Calls `act` with the node if this participation still lasts, and performs the resulting effects.
    pub(super) fn with_node<T>(
        &self,
        participation: u64,
        act: impl FnOnce(&mut ClusterNode, Micros, &mut Vec<Effect>) -> T,
    ) -> Option<T> {
        let mut effects = Vec::new();
        let result = match self.node.borrow_mut().as_mut() {
            Some(node) if participation == self.participation.get() => {
                Some(act(node, self.clock.now(), &mut effects))
            }
            _ => None,
        };
        self.perform(effects);
        result
    }

    /// Writes the record of a claim. Returns the number of the write, or `None` if the claim may not write.
    pub(super) fn write_claim(&self, claim: ClaimHandle, change: RecordChange) -> Option<u32> {
        let write =
            |node: &mut ClusterNode, now, out: &mut Vec<Effect>| node.write_claim(now, claim.id, change, out);
        self.with_node(claim.participation, write).flatten()
    }

    /// Sends a claim's messages to all replicas of its record, because those contacted first are slow.
    pub(super) fn contact_all_replicas(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, now, out| node.contact_all_replicas(now, claim.id, out));
    }

    /// Whether the claim owns its record, with enough of the lease left to act now.
    pub(super) fn may_act(&self, claim: ClaimHandle) -> bool {
        self.with_node(claim.participation, |node, now, _| node.may_act(now, claim.id)).unwrap_or(false)
    }

    /// Returns the end of the lease of a claim that owns its record.
    pub(super) fn lease_end(&self, claim: ClaimHandle) -> Option<Instant> {
        let lease_end = self.with_node(claim.participation, |node, _, _| node.lease_end(claim.id)).flatten();
        lease_end.map(|lease_end| self.clock.instant_at(lease_end))
    }

    /// Removes an attempt at this endpoint from the record: it is certain that it never ran.
    pub(super) fn remove_attempt(&self, claim: ClaimHandle, endpoint: u64) {
        self.with_node(claim.participation, |node, _, _| node.remove_attempt(claim.id, endpoint));
    }

    /// Releases a claim when its request ends here without a response.
    pub(super) fn release_claim(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, now, out| node.release_claim(now, claim.id, None, out));
    }

    /// Ends a claim whose record was completed or released.
    pub(super) fn close_claim(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, now, _| node.close_claim(now, claim.id));
    }

    /// Stops tracking a claim that no request waits for.
    pub(super) fn remove_claim(&self, claim: ClaimHandle) {
        if claim.participation == self.participation.get() {
            self.claims.borrow_mut().remove(&claim.id);
        }
    }

    /// Counts a request that continues without a record.
    pub(super) fn count_unprotected(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, _, _| node.count_unprotected());
    }
}
