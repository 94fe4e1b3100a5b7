//! Claims at the ledger, as the requests that they protect ask for them.

use super::claim_handle::ClaimHandle;
use super::claim_progress::ClaimProgress;
use super::ledger_claim::LedgerClaim;
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimId, RecordChange, RecordId};
use crate::cluster::{ClusterNode, Effect, Micros};
use std::rc::Rc;

impl ClusterTransport {
    /// Whether a ledger is kept.
    pub fn keeps_ledger(&self) -> bool {
        self.config.settings.ledger.is_some()
    }

    /// Whether requests of this class are finished by others if their gateway dies and no client comes again.
    pub fn finishes(&self, class: &str) -> bool {
        self.config.finish_classes.iter().any(|name| name == class)
    }

    /// Counts an abandoned request that was finished here, or could not be.
    pub fn count_abandoned(&self, finished: bool) {
        let count = if finished { &self.abandoned_finished } else { &self.abandoned_not_finished };
        count.set(count.get() + 1);
    }

    /// Claims a request's record; `request` is left with the record's replicas. None: this process takes no part, or has
    /// as many claims open as it may.
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
        }
        Some(claim)
    }

    /// Does something with the node, if it is that of this participation still.
    pub(super) fn with_node<T>(
        &self,
        participation: u64,
        act: impl FnOnce(&mut ClusterNode, Micros, &mut Vec<Effect>) -> T,
    ) -> Option<T> {
        let mut effects = Vec::new();
        let done = match self.node.borrow_mut().as_mut() {
            Some(node) if participation == self.participation.get() => {
                Some(act(node, self.clock.now(), &mut effects))
            }
            _ => None,
        };
        self.perform(effects);
        done
    }

    /// Writes a claim's record. Returns the number of the write; none: it may not be written.
    pub(super) fn write_claim(&self, claim: ClaimHandle, change: RecordChange) -> Option<u32> {
        let write =
            |node: &mut ClusterNode, now, out: &mut Vec<Effect>| node.write_claim(now, claim.id, change, out);
        self.with_node(claim.participation, write).flatten()
    }

    /// The replicas that a claim has asked are slow: asks all others.
    pub(super) fn contact_all_replicas(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, now, out| node.contact_all_replicas(now, claim.id, out));
    }

    /// Whether the owner of a claim's record may act now.
    pub(super) fn may_act(&self, claim: ClaimHandle) -> bool {
        self.with_node(claim.participation, |node, now, _| node.may_act(now, claim.id)).unwrap_or(false)
    }

    /// An attempt of a claim's request certainly never ran at this endpoint.
    pub(super) fn attempt_never_ran(&self, claim: ClaimHandle, endpoint: u64) {
        self.with_node(claim.participation, |node, _, _| node.remove_attempt(claim.id, endpoint));
    }

    /// A claim's request has ended here, with this response if it has one.
    pub(super) fn release_claim(&self, claim: ClaimHandle, response: Option<Vec<u8>>) {
        let release = |node: &mut ClusterNode, now, out: &mut Vec<Effect>| {
            node.release_claim(now, claim.id, response, out);
        };
        self.with_node(claim.participation, release);
    }

    /// Nobody waits for a claim any more.
    pub(super) fn forget_claim(&self, claim: ClaimHandle) {
        if claim.participation == self.participation.get() {
            self.claims.borrow_mut().remove(&claim.id);
        }
    }

    /// Counts a request that goes on without a record.
    pub(super) fn count_unprotected(&self, claim: ClaimHandle) {
        self.with_node(claim.participation, |node, _, _| node.count_unprotected());
    }
}
