//! One gateway's replica of the write queue, with its claim of the record whose owner forwards the writes.

use crate::cluster::ledger::ClaimId;
use crate::cluster::write_queue::replica::QueueReplica;
use crate::decision::Micros;

/// The write queue as one gateway has it, with its claim of the branch's record.
pub struct WriteQueue {
    pub(in crate::cluster) replica: QueueReplica,
    /// Its claim of the branch's record, while it has one.
    pub(in crate::cluster) claim: Option<ClaimId>,
    /// When it claims that next, where it has none.
    pub(in crate::cluster) next_claim: Micros,
}

impl WriteQueue {
    pub(in crate::cluster) fn new(replica: QueueReplica, now: Micros) -> WriteQueue {
        WriteQueue { replica, claim: None, next_claim: now }
    }

    /// This gateway's part in it.
    pub fn replica(&self) -> &QueueReplica {
        &self.replica
    }

    pub(in crate::cluster) fn replica_mut(&mut self) -> &mut QueueReplica {
        &mut self.replica
    }

    /// Whether this gateway should claim the branch's record: pending writes wait for somebody to forward them.
    pub(in crate::cluster) fn wants_claim(&self, now: Micros) -> bool {
        let has_work = self.replica.log().pending_count() > 0;
        let may_forward = self.replica.has_vote() && !self.replica.is_isolated();
        self.claim.is_none() && now >= self.next_claim && has_work && may_forward
    }

    /// Whether it holds the record without a use: nothing is pending, or it may not forward as its storage failed.
    pub(in crate::cluster) fn is_idle(&self) -> bool {
        self.replica.log().pending_count() == 0 || !self.replica.has_vote()
    }
}
