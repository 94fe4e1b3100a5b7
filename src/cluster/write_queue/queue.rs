//! Write queue of one gateway: its replica and its claim of the branch's ledger record.

use super::replica::QueueReplica;
use crate::cluster::ledger::ClaimId;
use crate::decision::Micros;

/// Minimum time before a gateway that does not own the branch's record claims it again; a random time of up to
/// the same length is added.
pub const CLAIM_INTERVAL: Micros = Micros(1_000_000);

/// Write queue of one gateway.
pub struct WriteQueue {
    replica: QueueReplica,
    claim: Option<ClaimId>,
    next_claim: Micros,
}

impl WriteQueue {
    /// Creates the write queue of this replica, without a claim.
    pub fn new(replica: QueueReplica, now: Micros) -> WriteQueue {
        WriteQueue { replica, claim: None, next_claim: now }
    }

    /// Returns the replica of this gateway.
    pub fn replica(&self) -> &QueueReplica {
        &self.replica
    }

    /// Returns the replica of this gateway, to be changed.
    pub fn replica_mut(&mut self) -> &mut QueueReplica {
        &mut self.replica
    }

    /// Returns the open claim of the branch's record.
    pub fn claim(&self) -> Option<ClaimId> {
        self.claim
    }

    /// Sets the claim of the branch's record, `None` if it could not be opened, and the time before which the
    /// record is not claimed again.
    pub fn set_claim(&mut self, claim: Option<ClaimId>, next_claim: Micros) {
        self.claim = claim;
        self.next_claim = next_claim;
    }

    /// Drops the claim and keeps the time before which the record is not claimed again.
    pub fn drop_claim(&mut self) {
        self.claim = None;
    }

    /// Returns whether this gateway should claim the branch's record: it has no claim, writes are pending, and
    /// it would be allowed to forward them.
    pub fn should_claim(&self, now: Micros) -> bool {
        let has_work = self.replica.log().pending_count() > 0;
        let may_forward = self.replica.has_vote() && !self.replica.is_isolated();
        self.claim.is_none() && now >= self.next_claim && has_work && may_forward
    }

    /// Returns whether the gateway has no use for the branch's record: no write is pending, or the replica has
    /// lost its vote with its storage and may not forward.
    pub fn is_idle(&self) -> bool {
        self.replica.log().pending_count() == 0 || !self.replica.has_vote()
    }
}
