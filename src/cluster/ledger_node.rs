//! Ledger of a cluster node: sends the claims of this gateway to the seats that hold the record and handles the
//! replies.

use super::datagram::{self, DatagramError, Payload};
use super::event::Effect;
use super::ledger::{
    AddressedMessage, ClaimId, ClaimOutcome, LedgerEffect, LedgerMessage, LedgerNode, RecordChange, RecordId,
};
use super::membership::identity::{Identity, CAPABILITY_LEDGER};
use super::membership::swim::Swim;
use super::node::ClusterNode;
use super::storage::GatedEffect;
use crate::decision::Micros;
use std::net::SocketAddr;

/// Endpoint of the attempt in a record that serves only as a lease, for which no attempt is sent.
const NO_ENDPOINT: u64 = 0;

/// Progress of the claim of a record that serves only as a lease.
pub(super) enum LeaseProgress {
    /// The claim waits for its replicas.
    Pending,
    /// A quorum accepted a write.
    Confirmed {
        /// Whether it was the first write, with which the lease begins.
        is_first: bool,
    },
    /// Another gateway holds the lease, or it cannot be acquired.
    Failed,
}

/// Seat of this gateway and the list of seats that it refers to.
pub(super) struct OwnSeat {
    /// Digest of the list of seats.
    pub(super) seat_list: u64,
    /// Seat of this gateway.
    pub(super) seat: u16,
}

/// Status of a lease whose record is in the ledger.
#[derive(Default)]
pub(super) struct RecordLeaseStatus {
    /// Whether the lease runs and its end is further away than the guard time.
    pub(super) is_held: bool,
    /// Whether the lease will still be held after the lease margin, that is, when the other members have
    /// learned of an action started now.
    pub(super) is_held_with_margin: bool,
    /// Claim that is the owner but may no longer act, as its lease has ended or ends within the guard time.
    /// The claim is to be released.
    pub(super) lapsed_claim: Option<ClaimId>,
    /// Whether the ledger no longer has the claim.
    pub(super) is_claim_missing: bool,
}

impl ClusterNode {
    /// Returns the ledger, or `None` if this gateway has none.
    pub fn ledger(&self) -> Option<&LedgerNode> {
        self.ledger.as_ref()
    }

    /// Returns the seats of the other gateways that are present and have the ledger capability.
    pub fn present_replicas(&self) -> Vec<u16> {
        let (seats, swim, assumed) = (&self.settings.seats, &self.swim, &self.assumed_present);
        (0..seats.len() as u16).filter(|seat| is_present_replica(seats, swim, assumed, *seat)).collect()
    }

    /// Opens a claim of a record for a request with this digest. Returns `None` if there is no ledger or it has
    /// too many open claims.
    pub fn open_claim(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim, assumed) = (&self.settings.seats, &self.swim, &self.assumed_present);
        let reachable = |seat| is_present_replica(seats, swim, assumed, seat);
        let mut effects = Vec::new();
        let claim = self.ledger.as_mut()?.open(now, id, request_digest, reachable, &mut effects);
        self.gate_ledger_effects(effects, out);
        claim
    }

    /// Opens a claim of a record whose replicas all belong to a group of seats.
    pub(super) fn open_claim_in_group(
        &mut self,
        now: Micros,
        id: RecordId,
        group: &[u16],
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim, assumed) = (&self.settings.seats, &self.swim, &self.assumed_present);
        let reachable = |seat| is_present_replica(seats, swim, assumed, seat);
        let mut effects = Vec::new();
        let claim = self.ledger.as_mut()?.open_in_group(now, id, group, reachable, &mut effects);
        self.gate_ledger_effects(effects, out);
        claim
    }

    /// Writes a claim's record. Returns the sequence number of the write, or `None` if the record may not be written.
    pub fn write_claim(
        &mut self,
        now: Micros,
        claim: ClaimId,
        change: RecordChange,
        out: &mut Vec<Effect>,
    ) -> Option<u32> {
        self.with_ledger(out, |ledger, effects| ledger.write(now, claim, change, effects)).flatten()
    }

    /// Has a claim's request stored at the replicas of its record, so that another gateway can finish it if this one
    /// fails.
    pub fn attach_request(&mut self, claim: ClaimId, request: Vec<u8>) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.attach_request(claim, request);
        }
    }

    /// Contacts the remaining replicas of a claim too. Called when those contacted first are slow.
    pub fn contact_all_replicas(&mut self, now: Micros, claim: ClaimId, out: &mut Vec<Effect>) {
        self.with_ledger(out, |ledger, effects| ledger.contact_all(now, claim, effects));
    }

    /// Counts a request that proceeds without a record.
    pub fn count_unprotected(&mut self) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.counts.unprotected += 1;
        }
    }

    /// Removes an attempt that is known not to have been executed from the record of its claim.
    pub fn remove_attempt(&mut self, claim: ClaimId, endpoint: u64) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.remove_attempt(claim, endpoint);
        }
    }

    /// Returns whether the owner of a claim's record may perform an externally visible action now.
    pub fn may_act(&self, now: Micros, claim: ClaimId) -> bool {
        self.ledger.as_ref().is_some_and(|ledger| ledger.may_act(now, claim))
    }

    /// Returns the end of the lease of a claim that owns its record.
    pub fn lease_end(&self, claim: ClaimId) -> Option<Micros> {
        self.ledger.as_ref().and_then(|ledger| ledger.lease_end(claim))
    }

    /// Releases a claim. `response` is the response if the claim's request was completed at this gateway,
    /// otherwise `None`.
    pub fn release_claim(
        &mut self,
        now: Micros,
        claim: ClaimId,
        response: Option<Vec<u8>>,
        out: &mut Vec<Effect>,
    ) {
        self.with_ledger(out, |ledger, effects| ledger.release(now, claim, response, effects));
    }

    /// Ends a claim whose record was completed or released.
    pub fn close_claim(&mut self, now: Micros, claim: ClaimId) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.close(now, claim);
        }
    }

    /// Handles a reply to a claim of this process that its successor has received.
    pub(super) fn on_ledger_reply(&mut self, seat: u16, message: LedgerMessage, out: &mut Vec<Effect>) {
        let now = self.now;
        if message.reply_ballot().is_some() {
            self.with_ledger(out, |ledger, effects| ledger.on_message(now, seat, message, effects));
        }
    }

    pub(super) fn tick_ledger(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        self.with_ledger(out, |ledger, effects| ledger.tick(now, effects));
    }

    /// Handles a ledger message from a seat of the list with this digest.
    pub(super) fn on_ledger_message(
        &mut self,
        seat_list: u64,
        seat: u16,
        message: LedgerMessage,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        if !self.is_own_seat_list(seat_list) {
            return Err(DatagramError::Rejected);
        }
        let now = self.now;
        self.with_ledger(out, |ledger, effects| ledger.on_message(now, seat, message, effects))
            .ok_or(DatagramError::Rejected)
    }

    /// Runs an action on the ledger and emits its effects through the durability gate.
    fn with_ledger<T>(
        &mut self,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut LedgerNode, &mut Vec<LedgerEffect>) -> T,
    ) -> Option<T> {
        let mut effects = Vec::new();
        let result = act(self.ledger.as_mut()?, &mut effects);
        self.gate_ledger_effects(effects, out);
        Some(result)
    }

    fn gate_ledger_effects(&mut self, effects: Vec<LedgerEffect>, out: &mut Vec<Effect>) {
        self.gate_effects(effects.into_iter().map(GatedEffect::Ledger).collect(), out);
    }

    /// Emits one effect of the ledger.
    pub(super) fn emit_ledger_effect(&mut self, effect: LedgerEffect, out: &mut Vec<Effect>) {
        let Some(OwnSeat { seat_list, seat }) = self.own_seat() else { return };
        match effect {
            LedgerEffect::ClaimResolved { claim, outcome } => {
                let is_lease = self.on_rollout_claim_resolved(claim, &outcome, out)
                    || self.on_queue_claim_resolved(claim, &outcome, out);
                if !is_lease {
                    out.push(Effect::ClaimResolved { claim, outcome });
                }
            }
            LedgerEffect::RequestAbandoned(request) => out.push(Effect::RequestAbandoned(request)),
            LedgerEffect::ReplyForOtherProcess { from, message } => {
                out.push(Effect::PredecessorReply { seat: from, message });
            }
            LedgerEffect::Send(AddressedMessage { to, message }) => {
                self.send_to_seat(to, &Payload::Ledger { seat_list, seat, message }, out);
            }
        }
    }

    /// Handles the outcome of the claim of a record that serves only as a lease, and writes the record once it
    /// is acquired so that this gateway becomes its owner.
    pub(super) fn advance_lease(
        &mut self,
        claim: ClaimId,
        outcome: &ClaimOutcome,
        out: &mut Vec<Effect>,
    ) -> LeaseProgress {
        let now = self.now;
        match outcome {
            ClaimOutcome::Acquired { .. } => {
                match self.write_claim(now, claim, RecordChange::AddAttempt(NO_ENDPOINT), out) {
                    Some(_) => LeaseProgress::Pending,
                    None => LeaseProgress::Failed,
                }
            }
            ClaimOutcome::Confirmed(sequence) => LeaseProgress::Confirmed { is_first: *sequence == 1 },
            ClaimOutcome::InProgress(_)
            | ClaimOutcome::Completed(_)
            | ClaimOutcome::KeyReused
            | ClaimOutcome::Unavailable
            | ClaimOutcome::Lost => LeaseProgress::Failed,
        }
    }

    /// Returns the status of the lease of this claim.
    pub(super) fn lease_status(&self, claim: Option<ClaimId>) -> RecordLeaseStatus {
        let Some(claim) = claim else { return RecordLeaseStatus::default() };
        let Some(client) = self.ledger.as_ref().and_then(|ledger| ledger.claim(claim)) else {
            return RecordLeaseStatus { is_claim_missing: true, ..RecordLeaseStatus::default() };
        };
        let has_lapsed = client.is_owner() && !client.may_act(self.now);
        RecordLeaseStatus {
            is_held: client.has_lease(self.now),
            is_held_with_margin: client.has_lease(self.now + self.settings.lease_margin()),
            lapsed_claim: has_lapsed.then_some(claim),
            is_claim_missing: false,
        }
    }

    /// Sends a datagram to a seat, or counts it as unaddressed if no address is known.
    pub(super) fn send_to_seat(&mut self, seat: u16, payload: &Payload, out: &mut Vec<Effect>) {
        let Some(name) = self.settings.seats.get(usize::from(seat)) else { return };
        let known = self.swim.records().get(name.as_str()).map(|record| record.identity.clone());
        let to = known.unwrap_or_else(|| Identity::unknown(name));
        let successor = self.successor_address.filter(|_| *name == self.settings.name);
        let address: Option<SocketAddr> = successor.or_else(|| self.addresses(&to).next());
        let bytes = datagram::encode(self.cluster_tag, payload, &[]);
        self.traffic.unaddressed += u64::from(address.is_none());
        if let (Some(address), Some(bytes)) = (address, bytes) {
            self.send_datagram(address, bytes, out);
        }
    }

    /// Returns whether this is the digest of this gateway's list of seats.
    pub(super) fn is_own_seat_list(&self, seat_list: u64) -> bool {
        self.quota_leases.as_ref().is_some_and(|leases| leases.seat_list() == seat_list)
    }

    /// Returns the seat of this gateway with the digest of its list of seats, or `None` without quota leases.
    pub(super) fn own_seat(&self) -> Option<OwnSeat> {
        self.quota_leases
            .as_ref()
            .map(|leases| OwnSeat { seat_list: leases.seat_list(), seat: leases.own_seat() })
    }
}

/// Returns whether the gateway in this seat is present and has the ledger capability. Of one that was never heard of,
/// `assumed_present` tells.
fn is_present_replica(seats: &[String], swim: &Swim, assumed_present: &[u16], seat: u16) -> bool {
    let record = seats.get(usize::from(seat)).and_then(|name| swim.records().get(name.as_str()));
    record.map_or(assumed_present.contains(&seat), |record| {
        record.state.is_present() && record.identity.metadata.capabilities & CAPABILITY_LEDGER != 0
    })
}
