//! Ledger of one gateway: its open claims and its replica.

mod open;

use super::claim_counts::ClaimCounts;
use super::client::{AddressedMessage, ClaimOutcome, LedgerClient, RecordChange};
use super::message::LedgerMessage;
use super::placement::replicas_of;
use super::replica::abandoned::AbandonedRequest;
use super::replica::Replica;
use super::settings::LedgerSettings;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// Number of a claim within this process.
pub type ClaimId = u64;

/// Interval at which `LedgerNode::tick` is to be called.
pub const LEDGER_TICK_INTERVAL: Micros = Micros(20_000);
/// Time for which a released claim waits for the confirmation of its last write.
const RELEASE_TIMEOUT: Micros = Micros(500_000);
/// Interval at which expired entries are removed from the replica.
const EXPIRY_INTERVAL: Micros = Micros(500_000);
/// Interval at which the replica is searched for abandoned requests.
const ABANDONED_INTERVAL: Micros = Micros(100_000);

/// An action that the ledger asks its caller to perform.
#[derive(Debug)]
pub enum LedgerEffect {
    /// Send this message to another seat.
    Send(AddressedMessage),
    /// A claim, or a write under it, has an outcome.
    ClaimResolved {
        /// Claim that the outcome belongs to.
        claim: ClaimId,
        /// Outcome of the claim or write.
        outcome: ClaimOutcome,
    },
    /// A reply to a claim of another process in this seat has arrived: of a predecessor that still serves, or of one that
    /// has exited.
    ReplyForOtherProcess {
        /// Seat of the replica that replied.
        from: u16,
        /// The reply.
        message: LedgerMessage,
    },
    /// This gateway may finish a request whose owner failed and whose client did not retry.
    RequestAbandoned(AbandonedRequest),
}

/// Which process in this seat has the claims and the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SeatState {
    /// This process alone.
    Own,
    /// A successor has the seat, with a replica that has no vote yet. The replica of this process serves its own claims
    /// until they end.
    ReplicaKept,
    /// A successor has the seat and the replica with all it has stored. This process has claims only.
    ReplicaMoved,
}

struct OpenClaim {
    client: LedgerClient,
    /// Time at which the claim was released.
    released_at: Option<Micros>,
}

/// Claims and replica of one gateway.
pub struct LedgerNode {
    settings: LedgerSettings,
    own_seat: u16,
    seats: usize,
    seat_list: u64,
    process: u64,
    replica: Replica,
    /// Whether a successor of this process has taken over the seat.
    seat: SeatState,
    claims: BTreeMap<ClaimId, OpenClaim>,
    last_claim: ClaimId,
    next_expiry: Micros,
    next_abandoned_check: Micros,
    /// Numbers of claims by outcome.
    pub counts: ClaimCounts,
}

impl LedgerNode {
    /// Creates the ledger of the gateway in `own_seat`, one of `seats` seats. `seat_list` is the digest of the
    /// list of seats and `process` the random number of this process.
    pub fn new(
        settings: LedgerSettings,
        own_seat: u16,
        seats: usize,
        seat_list: u64,
        process: u64,
        now: Micros,
    ) -> LedgerNode {
        LedgerNode {
            settings,
            own_seat,
            seats,
            seat_list,
            process,
            replica: Replica::new(settings, now),
            seat: SeatState::Own,
            claims: BTreeMap::new(),
            last_claim: 0,
            next_expiry: now,
            next_abandoned_check: now,
            counts: ClaimCounts::default(),
        }
    }

    /// Called when a successor of this process has taken over the seat: from now on this process drives its claims only.
    /// `replica_moved` tells whether the successor restores this replica from storage.
    pub fn hand_over_seat(&mut self, replica_moved: bool) {
        self.seat = if replica_moved { SeatState::ReplicaMoved } else { SeatState::ReplicaKept };
    }

    /// Drops a claim without a word to its replicas, for whom its lease ends.
    pub fn drop_claim(&mut self, claim: ClaimId) {
        self.claims.remove(&claim);
    }

    /// Returns the replica of this gateway.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replica of this gateway for storage events.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Returns the number of open claims.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the client of an open claim, or `None` if the claim is not open.
    pub fn claim(&self, claim: ClaimId) -> Option<&LedgerClient> {
        self.claims.get(&claim).map(|open| &open.client)
    }

    /// Has a claim's request stored at the replicas of its record with the first write.
    pub fn attach_request(&mut self, claim: ClaimId, request: Vec<u8>) {
        if let Some(open) = self.claims.get_mut(&claim) {
            open.client.attach_request(request);
        }
    }

    /// Contacts the remaining replicas of a claim too. Called when those contacted first are slow.
    pub fn contact_all(&mut self, now: Micros, claim: ClaimId, out: &mut Vec<LedgerEffect>) {
        let mut messages = Vec::new();
        if let Some(open) = self.claims.get_mut(&claim).filter(|open| open.client.is_waiting()) {
            open.client.contact_all(&mut messages);
        }
        self.deliver(now, messages, out);
    }

    /// Writes a claim's record. Returns the sequence number of the write, or `None` if the record may not be written.
    pub fn write(
        &mut self,
        now: Micros,
        claim: ClaimId,
        change: RecordChange,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<u32> {
        let mut messages = Vec::new();
        let sequence = self.claims.get_mut(&claim)?.client.write(now, change, &mut messages);
        self.deliver(now, messages, out);
        sequence
    }

    /// Removes an attempt at this endpoint that is known not to have been executed.
    pub fn remove_attempt(&mut self, claim: ClaimId, endpoint: u64) {
        if let Some(open) = self.claims.get_mut(&claim) {
            open.client.remove_attempt(endpoint);
        }
    }

    /// Returns the end of the lease of a claim that owns its record.
    pub fn lease_end(&self, claim: ClaimId) -> Option<Micros> {
        self.claim(claim).and_then(LedgerClient::lease_end)
    }

    /// Returns whether the owner of a claim's record may perform an externally visible action now.
    pub fn may_act(&self, now: Micros, claim: ClaimId) -> bool {
        self.claim(claim).is_some_and(|client| client.may_act(now))
    }

    /// Releases a claim whose request has ended at this gateway. With a response the record is completed; without one
    /// another gateway may continue the request.
    pub fn release(
        &mut self,
        now: Micros,
        claim: ClaimId,
        response: Option<Vec<u8>>,
        out: &mut Vec<LedgerEffect>,
    ) {
        let Some(open) = self.claims.get(&claim) else { return };
        if !open.client.is_owner() {
            self.claims.remove(&claim);
            return;
        }
        let change = response.map_or(RecordChange::Release, RecordChange::Complete);
        self.write(now, claim, change, out);
        self.close(now, claim);
    }

    /// Ends a claim whose record was completed or released, once its last write is confirmed or after `RELEASE_TIMEOUT`.
    pub fn close(&mut self, now: Micros, claim: ClaimId) {
        let Some(open) = self.claims.get_mut(&claim) else { return };
        open.released_at = Some(now);
        if !open.client.is_owner() || open.client.is_confirmed() {
            self.claims.remove(&claim);
        }
    }

    /// Handles a message from a seat: a request to the local replica or a reply to a claim.
    pub fn on_message(
        &mut self,
        now: Micros,
        from: u16,
        message: LedgerMessage,
        out: &mut Vec<LedgerEffect>,
    ) {
        if usize::from(from) >= self.seats {
            return;
        }
        match message.reply_ballot() {
            None => {
                if let Some(message) = self.replica.on_message(now, message) {
                    self.deliver(now, vec![AddressedMessage { to: from, message }], out);
                }
            }
            Some(ballot) if ballot.process == self.process => {
                self.on_reply(now, from, ballot.claim, message, out);
            }
            Some(_) => out.push(LedgerEffect::ReplyForOtherProcess { from, message }),
        }
    }

    fn on_reply(
        &mut self,
        now: Micros,
        from: u16,
        claim: ClaimId,
        message: LedgerMessage,
        out: &mut Vec<LedgerEffect>,
    ) {
        let Some(open) = self.claims.get_mut(&claim) else { return };
        let mut messages = Vec::new();
        let id = open.client.id();
        let outcome = open.client.on_message(now, from, message, &mut messages);
        let is_released = open.released_at.is_some() && open.client.is_confirmed();
        if is_released || open.client.is_finished() {
            self.claims.remove(&claim);
        }
        if let Some(outcome) = outcome {
            if matches!(outcome, ClaimOutcome::Completed(_)) {
                self.replica.drop_request(id);
            }
            self.resolve(claim, outcome, out);
        }
        self.deliver(now, messages, out);
    }

    fn resolve(&mut self, claim: ClaimId, outcome: ClaimOutcome, out: &mut Vec<LedgerEffect>) {
        self.counts.record(&outcome);
        out.push(LedgerEffect::ClaimResolved { claim, outcome });
    }

    /// Handles messages to the local replica at once and emits the others to be sent.
    fn deliver(&mut self, now: Micros, messages: Vec<AddressedMessage>, out: &mut Vec<LedgerEffect>) {
        for addressed in messages {
            match addressed.to == self.own_seat && self.seat != SeatState::ReplicaMoved {
                true => self.on_message(now, addressed.to, addressed.message, out),
                false => out.push(LedgerEffect::Send(addressed)),
            }
        }
    }

    /// Called every `LEDGER_TICK_INTERVAL`: drives open claims, reports abandoned requests and removes expired
    /// entries.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<LedgerEffect>) {
        let mut messages = Vec::new();
        let mut unavailable = Vec::new();
        for (claim, open) in &mut self.claims {
            open.client.tick(now, &mut messages);
            unavailable
                .extend(open.client.retry_prepare(now, &mut messages).map(|outcome| (*claim, outcome)));
        }
        self.claims.retain(|_, open| {
            !open.client.is_finished() && open.released_at.is_none_or(|at| now - at < RELEASE_TIMEOUT)
        });
        for (claim, outcome) in unavailable {
            self.resolve(claim, outcome, out);
        }
        self.deliver(now, messages, out);
        if self.seat == SeatState::Own && now >= self.next_abandoned_check {
            self.next_abandoned_check = now + ABANDONED_INTERVAL;
            self.report_abandoned(now, out);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.replica.remove_expired(now);
        }
    }

    fn report_abandoned(&mut self, now: Micros, out: &mut Vec<LedgerEffect>) {
        let (own_seat, seat_list, seats, count) =
            (self.own_seat, self.seat_list, self.seats, self.settings.replicas);
        let rank = |id| {
            let replicas = replicas_of(id, seat_list, seats, count);
            replicas.iter().position(|seat| *seat == own_seat).unwrap_or(count)
        };
        for request in self.replica.take_abandoned(now, rank) {
            self.counts.abandoned += 1;
            out.push(LedgerEffect::RequestAbandoned(request));
        }
    }
}
