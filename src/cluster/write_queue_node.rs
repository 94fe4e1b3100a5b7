//! Write queue of a cluster node: exchanges messages with the branch's seats and claims the branch's record at
//! the ledger.

use super::datagram::{DatagramError, Payload};
use super::event::{Effect, WriteQueueEffect};
use super::ledger::{ClaimId, ClaimOutcome};
use super::ledger_node::{LeaseProgress, OwnSeat};
use super::node::ClusterNode;
use super::storage::{GatedEffect, MAX_WAITING_FOR_NEW_WRITES};
use super::write_queue::{
    queue_record, Dot, ForwardOutcome, QueueEffect, QueueMessage, QueueReplica, WriteQueue, WriteRequest,
    WriteStatus, CLAIM_INTERVAL,
};
use crate::decision::Micros;

impl ClusterNode {
    /// Returns the write queue, or `None` if this gateway belongs to no branch.
    pub fn write_queue(&self) -> Option<&WriteQueue> {
        self.write_queue.as_ref()
    }

    /// Returns the status of a write, or `None` if this gateway belongs to no branch.
    pub fn write_status(&self, dot: Dot) -> Option<WriteStatus> {
        self.write_queue.as_ref().map(|queue| queue.replica().status(dot))
    }

    /// Submits a write. The result follows as `WriteQueueEffect::AcceptanceDecided`. Returns the dot of the write, or
    /// `None` if it cannot be accepted.
    pub fn accept_write(&mut self, now: Micros, request: WriteRequest, out: &mut Vec<Effect>) -> Option<Dot> {
        // Slow storage must not receive more writes than it can absorb.
        if self
            .persistence
            .as_ref()
            .is_some_and(|persistence| persistence.waiting() > MAX_WAITING_FOR_NEW_WRITES)
        {
            return None;
        }
        self.with_queue(out, |queue, effects| queue.accept(now, request, effects)).flatten()
    }

    /// Records whether an attempt at a backend got a response.
    pub fn record_backend_attempt(&mut self, now: Micros, responded: bool) {
        if let Some(queue) = self.write_queue.as_mut() {
            queue.replica_mut().record_attempt(now, responded);
        }
    }

    /// Called when forwarding a write has ended.
    pub fn on_write_forwarded(
        &mut self,
        now: Micros,
        dot: Dot,
        attempt: u16,
        outcome: ForwardOutcome,
        out: &mut Vec<Effect>,
    ) {
        self.with_queue(out, |queue, effects| queue.on_forwarded(now, dot, attempt, outcome, effects));
    }

    /// Handles a write queue message from a seat of the list with this digest.
    pub(super) fn on_queue_message(
        &mut self,
        seat_list: u64,
        seat: u16,
        message: QueueMessage,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        if self.is_storage_opening() {
            return Ok(());
        }
        if !self.is_own_seat_list(seat_list) {
            return Err(DatagramError::Rejected);
        }
        let now = self.now;
        self.with_queue(out, |queue, effects| queue.on_message(now, seat, message, effects))
            .ok_or(DatagramError::Rejected)
    }

    /// Handles the outcome of a ledger claim. Returns whether the claim is that of the write queue.
    pub(super) fn on_queue_claim_resolved(
        &mut self,
        claim: ClaimId,
        outcome: &ClaimOutcome,
        out: &mut Vec<Effect>,
    ) -> bool {
        let now = self.now;
        if self.write_queue.as_ref().is_none_or(|queue| queue.claim() != Some(claim)) {
            return false;
        }
        if let LeaseProgress::Failed = self.advance_lease(claim, outcome, out) {
            if let Some(queue) = self.write_queue.as_mut() {
                queue.set_claim(None, now + CLAIM_INTERVAL);
                self.release_claim(now, claim, None, out);
            }
        }
        true
    }

    /// Called on each tick: drives the replica and, while writes are pending, claims the branch's record or
    /// keeps its lease.
    pub(super) fn tick_write_queue(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        if self.is_storage_opening() {
            return;
        }
        let Some(queue) = self.write_queue.as_ref() else { return };
        let lease = self.lease_status(queue.claim());
        // Nothing is started so late that the lease could end before the other gateways have learned of it.
        let has_lease_with_margin = lease.is_held_with_margin;
        let is_unused = has_lease_with_margin && queue.is_idle();
        let to_release = lease.lapsed_claim.or(queue.claim().filter(|_| is_unused || self.is_leaving));
        if to_release.is_some() || lease.is_claim_missing {
            self.give_up_queue_claim(to_release, lease.lapsed_claim.is_some(), out);
        }
        if !self.is_leaving && self.write_queue.as_ref().is_some_and(|queue| queue.should_claim(now)) {
            self.claim_queue(out);
        }
        self.with_queue(out, |queue, effects| queue.tick(now, has_lease_with_margin, lease.is_held, effects));
    }

    fn give_up_queue_claim(&mut self, claim: Option<ClaimId>, has_lapsed: bool, out: &mut Vec<Effect>) {
        let now = self.now;
        if let Some(queue) = self.write_queue.as_mut() {
            queue.drop_claim();
        }
        if let Some(claim) = claim {
            self.release_claim(now, claim, None, out);
        }
        if let Some(queue) = self.write_queue.as_mut().filter(|_| has_lapsed) {
            // A record has a limited lifetime, so its owner claims a new one at once.
            queue.set_claim(None, now);
        }
    }

    fn claim_queue(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let wait = CLAIM_INTERVAL + Micros(self.rng.u64(0..CLAIM_INTERVAL.0));
        let group = self.settings.write_queue.as_ref().map(|branch| branch.seats.clone()).unwrap_or_default();
        let claim = self.open_claim_in_group(now, queue_record(&group), &group, out);
        if let Some(queue) = self.write_queue.as_mut() {
            queue.set_claim(claim, now + wait);
        }
    }

    /// Runs an action on the replica and emits its effects through the durability gate.
    fn with_queue<T>(
        &mut self,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut QueueReplica, &mut Vec<QueueEffect>) -> T,
    ) -> Option<T> {
        let mut effects = Vec::new();
        let result = act(self.write_queue.as_mut()?.replica_mut(), &mut effects);
        self.gate_queue_effects(effects, out);
        Some(result)
    }

    pub(super) fn gate_queue_effects(&mut self, effects: Vec<QueueEffect>, out: &mut Vec<Effect>) {
        self.gate_effects(effects.into_iter().map(GatedEffect::WriteQueue).collect(), out);
    }

    /// Emits one effect of the write queue.
    pub(super) fn emit_queue_effect(&mut self, effect: QueueEffect, out: &mut Vec<Effect>) {
        let effect = match effect {
            QueueEffect::Send { to, message } => {
                let Some(OwnSeat { seat_list, seat }) = self.own_seat() else { return };
                return self.send_to_seat(to, &Payload::WriteQueue { seat_list, seat, message }, out);
            }
            QueueEffect::Forward { write, attempt, first_sent_at } => {
                if !self.may_forward() {
                    if let Some(queue) = self.write_queue.as_mut() {
                        queue.replica_mut().on_forward_dropped(write.dot);
                    }
                    return;
                }
                let may_have_been_executed = first_sent_at.is_some();
                WriteQueueEffect::Forward { write: Box::new(write), attempt, may_have_been_executed }
            }
            QueueEffect::AcceptanceDecided { dot, acceptance } => {
                WriteQueueEffect::AcceptanceDecided { dot, acceptance }
            }
            QueueEffect::NotCompleted { dot, outcome } => WriteQueueEffect::NotCompleted { dot, outcome },
            QueueEffect::IsolationChanged { isolated, since_response } => {
                WriteQueueEffect::IsolationChanged { isolated, since_response }
            }
        };
        out.push(Effect::WriteQueue(effect));
    }

    /// Returns whether this gateway may still forward writes: the lease may have ended while the process was paused.
    fn may_forward(&self) -> bool {
        let claim = self.write_queue.as_ref().and_then(|queue| queue.claim());
        claim.is_some_and(|claim| self.may_act(self.now, claim))
    }
}
