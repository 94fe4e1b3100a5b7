//! The ledger within a cluster node: claims of this gateway go out to the seats that hold a record, and their replies
//! come in.

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

/// What is written as the attempt of a record that stands for a lease alone: nothing is sent.
const NO_ENDPOINT: u64 = 0;

/// How the claim of a record that stands for a lease is doing.
pub(super) enum LeaseProgress {
    /// It waits for its replicas.
    Pending,
    /// A quorum confirmed a write.
    Confirmed {
        /// The first: the lease begins.
        is_first: bool,
    },
    /// The lease is another's, or can't be had.
    Failed,
}

/// Where this gateway stands among the seats.
pub(super) struct OwnSeat {
    /// The digest of the list of seats.
    pub(super) seat_list: u64,
    /// This gateway's seat.
    pub(super) seat: u16,
}

/// How a lease stands, by the ledger.
#[derive(Default)]
pub(super) struct RecordLeaseStatus {
    /// It runs.
    pub(super) is_held: bool,
    /// It still runs when others learn of what is begun now.
    pub(super) is_held_with_margin: bool,
    /// It is over though it was held: the claim is to be released.
    pub(super) lapsed: Option<ClaimId>,
    /// The ledger no longer has the claim.
    pub(super) is_gone: bool,
}

impl ClusterNode {
    /// The ledger, where there is one.
    pub fn ledger(&self) -> Option<&LedgerNode> {
        self.ledger.as_ref()
    }

    /// Claims a record for a request of this digest. None where there is no ledger, or too much is claimed.
    pub fn open_claim(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim) = (&self.settings.seats, &self.swim);
        let reachable = |seat| is_present_replica(seats, swim, seat);
        let mut effects = Vec::new();
        let claim = self.ledger.as_mut()?.open(now, id, request_digest, reachable, &mut effects);
        self.gate_ledger_effects(effects, out);
        claim
    }

    /// Claims a record that a group of the seats holds.
    pub(super) fn open_claim_in_group(
        &mut self,
        now: Micros,
        id: RecordId,
        group: &[u16],
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim) = (&self.settings.seats, &self.swim);
        let reachable = |seat| is_present_replica(seats, swim, seat);
        let mut effects = Vec::new();
        let claim = self.ledger.as_mut()?.open_in_group(now, id, group, reachable, &mut effects);
        self.gate_ledger_effects(effects, out);
        claim
    }

    /// Writes a claim's record. Returns the number of the write, or none where it may not be written.
    pub fn write_claim(
        &mut self,
        now: Micros,
        claim: ClaimId,
        change: RecordChange,
        out: &mut Vec<Effect>,
    ) -> Option<u32> {
        self.with_ledger(out, |ledger, effects| ledger.write(now, claim, change, effects)).flatten()
    }

    /// The request is to be stored with the replicas of its record, so that it is finished whoever dies.
    pub fn attach_request(&mut self, claim: ClaimId, request: Vec<u8>) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.attach_request(claim, request);
        }
    }

    /// The replicas that a claim asked are slow: the others are asked as well.
    pub fn contact_all_replicas(&mut self, now: Micros, claim: ClaimId, out: &mut Vec<Effect>) {
        self.with_ledger(out, |ledger, effects| ledger.contact_all(now, claim, effects));
    }

    /// A claim's request goes on without a record.
    pub fn count_unprotected(&mut self) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.counts.unprotected += 1;
        }
    }

    /// An attempt of a claim's request surely never ran.
    pub fn remove_attempt(&mut self, claim: ClaimId, endpoint: u64) {
        if let Some(ledger) = self.ledger.as_mut() {
            ledger.remove_attempt(claim, endpoint);
        }
    }

    /// Whether the owner of a claim's record may do something now that others see.
    pub fn may_act(&self, now: Micros, claim: ClaimId) -> bool {
        self.ledger.as_ref().is_some_and(|ledger| ledger.may_act(now, claim))
    }

    /// A claim's request is over here, with its response or without.
    pub fn release_claim(
        &mut self,
        now: Micros,
        claim: ClaimId,
        response: Option<Vec<u8>>,
        out: &mut Vec<Effect>,
    ) {
        self.with_ledger(out, |ledger, effects| ledger.release(now, claim, response, effects));
    }

    pub(super) fn tick_ledger(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        self.with_ledger(out, |ledger, effects| ledger.tick(now, effects));
    }

    /// Handles a message of the ledger from a seat of that list.
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

    /// Does something with the ledger, and lets out what follows.
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

    /// Lets out one effect of the ledger.
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
            LedgerEffect::Send(AddressedMessage { to, message }) => {
                self.send_to_seat(to, &Payload::Ledger { seat_list, seat, message }, out);
            }
        }
    }

    /// Something became of the claim of a record that stands for a lease. Once it is acquired, it is owned.
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
            ClaimOutcome::Confirmed(number) => LeaseProgress::Confirmed { is_first: *number == 1 },
            ClaimOutcome::InProgress(_)
            | ClaimOutcome::Completed(_)
            | ClaimOutcome::KeyReused
            | ClaimOutcome::Unavailable
            | ClaimOutcome::Lost => LeaseProgress::Failed,
        }
    }

    /// How the lease of this claim stands.
    pub(super) fn lease_status(&self, claim: Option<ClaimId>) -> RecordLeaseStatus {
        let Some(claim) = claim else { return RecordLeaseStatus::default() };
        let Some(client) = self.ledger.as_ref().and_then(|ledger| ledger.claim(claim)) else {
            return RecordLeaseStatus { is_gone: true, ..RecordLeaseStatus::default() };
        };
        let has_lapsed = client.is_owner() && !client.may_act(self.now);
        RecordLeaseStatus {
            is_held: client.has_lease(self.now),
            is_held_with_margin: client.has_lease(self.now + self.settings.lease_margin()),
            lapsed: has_lapsed.then_some(claim),
            is_gone: false,
        }
    }

    /// Sends a datagram to a seat.
    pub(super) fn send_to_seat(&mut self, seat: u16, payload: &Payload, out: &mut Vec<Effect>) {
        let Some(name) = self.settings.seats.get(usize::from(seat)) else { return };
        let known = self.swim.records().get(name.as_str()).map(|record| record.identity.clone());
        let to = known.unwrap_or_else(|| Identity::unknown(name));
        let address: Option<SocketAddr> = self.addresses(&to).next();
        let bytes = datagram::encode(self.cluster_tag, payload, &[]);
        self.traffic.unaddressed += u64::from(address.is_none());
        if let (Some(address), Some(bytes)) = (address, bytes) {
            self.send_datagram(address, bytes, out);
        }
    }

    /// Whether this is the digest of this gateway's list of seats.
    pub(super) fn is_own_seat_list(&self, seat_list: u64) -> bool {
        self.quota_leases.as_ref().is_some_and(|leases| leases.seat_list() == seat_list)
    }

    /// The digest of this gateway's list of seats, and its seat.
    pub(super) fn own_seat(&self) -> Option<OwnSeat> {
        self.quota_leases
            .as_ref()
            .map(|leases| OwnSeat { seat_list: leases.seat_list(), seat: leases.own_seat() })
    }
}

/// Whether the gateway in this seat is present, and holds records.
fn is_present_replica(seats: &[String], swim: &Swim, seat: u16) -> bool {
    let record = seats.get(usize::from(seat)).and_then(|name| swim.records().get(name.as_str()));
    record.is_some_and(|r| r.state.is_present() && r.identity.metadata.capabilities & CAPABILITY_LEDGER != 0)
}
