//! The write queue as one gateway has it, with its claim of the branch's record.

use super::replica::QueueReplica;
use crate::cluster::ledger::ClaimId;
use crate::decision::Micros;

/// A gateway that does not own the branch's record claims it again after this, and up to as long again.
pub const CLAIM_INTERVAL: Micros = Micros(1_000_000);

/// The write queue as one gateway has it.
pub struct WriteQueue {
    replica: QueueReplica,
    claim: Option<ClaimId>,
    next_claim: Micros,
}

impl WriteQueue {
    /// With this part in the branch, and without a claim.
    pub fn new(replica: QueueReplica, now: Micros) -> WriteQueue {
        WriteQueue { replica, claim: None, next_claim: now }
    }

    /// This gateway's part in the branch.
    pub fn replica(&self) -> &QueueReplica {
        &self.replica
    }

    /// The same, to be driven.
    pub fn replica_mut(&mut self) -> &mut QueueReplica {
        &mut self.replica
    }

    /// The claim of the branch's record.
    pub fn claim(&self) -> Option<ClaimId> {
        self.claim
    }

    /// The record is claimed, if it could be; it is not claimed again before this time.
    pub fn set_claim(&mut self, claim: Option<ClaimId>, next_claim: Micros) {
        self.claim = claim;
        self.next_claim = next_claim;
    }

    /// The claim is given up; when the record is claimed again stays as it was.
    pub fn drop_claim(&mut self) {
        self.claim = None;
    }

    /// Whether this gateway should claim the branch's record: pending writes wait for somebody to forward them.
    pub fn wants_claim(&self, now: Micros) -> bool {
        let has_work = self.replica.log().pending_count() > 0;
        let may_forward = self.replica.has_vote() && !self.replica.is_isolated();
        self.claim.is_none() && now >= self.next_claim && has_work && may_forward
    }

    /// Whether it holds the record without a use: nothing is pending, or it may not forward as its storage failed.
    pub fn is_idle(&self) -> bool {
        self.replica.log().pending_count() == 0 || !self.replica.has_vote()
    }
}
