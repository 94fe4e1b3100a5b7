//! All that one gateway does at the ledger: its claims, and the replica that it is for others.

use super::client::{AddressedMessage, ClaimOutcome, LedgerClient, RecordChange};
use super::message::LedgerMessage;
use super::placement::{replicas_among, replicas_of};
use super::record::{Ballot, RecordId};
use super::replica::abandoned::AbandonedRequest;
use super::replica::Replica;
use super::settings::LedgerSettings;
use crate::decision::Micros;
use std::collections::BTreeMap;

/// The number of a claim of this process.
pub type ClaimId = u64;

/// How often the ledger is to be called.
pub const LEDGER_TICK_INTERVAL: Micros = Micros(20_000);
/// The most claims at one time; beyond that requests go on without a record.
const MAX_CLAIMS: usize = 10_000;
/// How long a released claim waits for its replicas to confirm the last write.
const RELEASE_TIMEOUT: Micros = Micros(500_000);
/// So many seats can be a group of their own: one of them may be dead.
const MIN_GROUP_SEATS: usize = 3;
/// Between two looks for entries that have expired.
const EXPIRY_INTERVAL: Micros = Micros(500_000);
/// Between two looks for abandoned requests.
const ABANDONED_INTERVAL: Micros = Micros(100_000);

/// What the ledger wants done.
#[derive(Debug)]
pub enum LedgerEffect {
    /// Send this to a seat.
    Send(AddressedMessage),
    /// Something became of a claim.
    ClaimResolved {
        /// Which claim.
        claim: ClaimId,
        /// What became of it.
        outcome: ClaimOutcome,
    },
    /// A request whose owner is gone and whose client did not come again may be finished here.
    RequestAbandoned(AbandonedRequest),
}

/// How claims ended, and how many there were. The field names are keys of the operators' JSON.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ClaimCounts {
    /// Claims made.
    pub claims: u64,
    /// Records acquired.
    #[serde(rename = "clear")]
    pub acquired: u64,
    /// Of them such as an earlier owner left.
    pub taken_over: u64,
    /// Found in progress at another gateway.
    #[serde(rename = "running")]
    pub in_progress: u64,
    /// Found completed.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Found with another request under the same key.
    #[serde(rename = "mistakes")]
    pub key_reused: u64,
    /// Without a quorum of the replicas.
    #[serde(rename = "unheld")]
    pub unavailable: u64,
    /// Lost to another owner.
    pub lost: u64,
    /// Requests that went on without a record, as its replicas did not confirm it in time.
    pub unprotected: u64,
    /// Requests of owners that are gone, offered to be finished here.
    #[serde(rename = "orphans")]
    pub abandoned: u64,
}

struct OpenClaim {
    client: LedgerClient,
    /// When its request released it.
    released_at: Option<Micros>,
}

/// One gateway's part in the ledger.
pub struct LedgerNode {
    settings: LedgerSettings,
    own_seat: u16,
    seats: usize,
    seat_list: u64,
    process: u64,
    replica: Replica,
    claims: BTreeMap<ClaimId, OpenClaim>,
    last_claim: ClaimId,
    next_expiry: Micros,
    next_abandoned_look: Micros,
    /// How claims ended.
    pub counts: ClaimCounts,
}

impl LedgerNode {
    /// For the gateway in this seat of so many; `seat_list` is the digest of the list of seats, `process` is drawn at
    /// random.
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
            claims: BTreeMap::new(),
            last_claim: 0,
            next_expiry: now,
            next_abandoned_look: now,
            counts: ClaimCounts::default(),
        }
    }

    /// The records that it holds for others.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The same, for the events of its storage.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// How many claims are open.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// An open claim.
    pub fn claim(&self, claim: ClaimId) -> Option<&LedgerClient> {
        self.claims.get(&claim).map(|open| &open.client)
    }

    /// Claims a record; none where there are too many claims. `reachable` says which seats are worth asking.
    pub fn open(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        let replicas = replicas_of(id, self.seat_list, self.seats, self.settings.replicas);
        self.open_at(now, id, request_digest, replicas, reachable, out)
    }

    /// Claims a record that a group of the seats holds: it can be had where a quorum of the group is, whoever else is
    /// cut off. A group of fewer than three is none: the whole cluster holds the record.
    pub fn open_in_group(
        &mut self,
        now: Micros,
        id: RecordId,
        group: &[u16],
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        if group.len() < MIN_GROUP_SEATS {
            return self.open(now, id, 0, reachable, out);
        }
        let count =
            if group.len() < self.settings.replicas { MIN_GROUP_SEATS } else { self.settings.replicas };
        let replicas = replicas_among(id, self.seat_list, group.iter().copied(), count);
        self.open_at(now, id, 0, replicas, reachable, out)
    }

    fn open_at(
        &mut self,
        now: Micros,
        id: RecordId,
        request_digest: u64,
        mut replicas: Vec<u16>,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<ClaimId> {
        if self.claims.len() >= MAX_CLAIMS {
            return None;
        }
        self.last_claim += 1;
        self.counts.claims += 1;
        let claim = self.last_claim;
        let ballot = Ballot { number: 1, process: self.process, claim };
        let is_away = |seat: u16| seat != self.own_seat && !reachable(seat);
        // The own replica first, those that are away last.
        replicas.sort_by_key(|seat| (*seat != self.own_seat, is_away(*seat)));
        let away: Vec<u16> = replicas.iter().copied().filter(|seat| is_away(*seat)).collect();
        let settings = LedgerSettings { replicas: replicas.len(), ..self.settings };
        let mut messages = Vec::new();
        let client = LedgerClient::begin(id, request_digest, ballot, replicas, settings, now, &mut messages);
        self.claims.insert(claim, OpenClaim { client, released_at: None });
        messages.retain(|message| !away.contains(&message.to));
        self.deliver(now, messages, out);
        for seat in away {
            self.on_message(now, seat, LedgerMessage::Abstained { id, ballot }, out);
        }
        Some(claim)
    }

    /// The request is to be stored with the replicas of its record.
    pub fn attach_request(&mut self, claim: ClaimId, request: Vec<u8>) {
        if let Some(open) = self.claims.get_mut(&claim) {
            open.client.attach_request(request);
        }
    }

    /// The replicas that a claim asked are slow: the others are asked as well.
    pub fn contact_all(&mut self, now: Micros, claim: ClaimId, out: &mut Vec<LedgerEffect>) {
        let mut messages = Vec::new();
        if let Some(open) = self.claims.get_mut(&claim).filter(|open| open.client.is_waiting()) {
            open.client.contact_all(&mut messages);
        }
        self.deliver(now, messages, out);
    }

    /// Writes a claim's record. Returns the number of the write, or none where it may not be written.
    pub fn write(
        &mut self,
        now: Micros,
        claim: ClaimId,
        change: RecordChange,
        out: &mut Vec<LedgerEffect>,
    ) -> Option<u32> {
        let mut messages = Vec::new();
        let number = self.claims.get_mut(&claim)?.client.write(now, change, &mut messages);
        self.deliver(now, messages, out);
        number
    }

    /// An attempt at this endpoint surely never ran.
    pub fn remove_attempt(&mut self, claim: ClaimId, endpoint: u64) {
        if let Some(open) = self.claims.get_mut(&claim) {
            open.client.remove_attempt(endpoint);
        }
    }

    /// Whether a claim's owner may act now.
    pub fn may_act(&self, now: Micros, claim: ClaimId) -> bool {
        self.claim(claim).is_some_and(|client| client.may_act(now))
    }

    /// A claim's request is over here, with its response or without: others may continue it.
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
        if let Some(open) = self.claims.get_mut(&claim) {
            open.released_at = Some(now);
        }
    }

    /// Handles a message from a seat: one to the replica, or a reply to a claim.
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
            Some(_) => {}
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
        let counts = &mut self.counts;
        match &outcome {
            ClaimOutcome::Acquired { existed, .. } => {
                counts.acquired += 1;
                counts.taken_over += u64::from(*existed);
            }
            ClaimOutcome::InProgress(_) => counts.in_progress += 1,
            ClaimOutcome::Completed(_) => counts.completed += 1,
            ClaimOutcome::KeyReused => counts.key_reused += 1,
            ClaimOutcome::Unavailable => counts.unavailable += 1,
            ClaimOutcome::Lost => counts.lost += 1,
            ClaimOutcome::Confirmed(_) => {}
        }
        out.push(LedgerEffect::ClaimResolved { claim, outcome });
    }

    /// Messages to the own replica are handled at once, the others sent.
    fn deliver(&mut self, now: Micros, messages: Vec<AddressedMessage>, out: &mut Vec<LedgerEffect>) {
        for addressed in messages {
            match addressed.to == self.own_seat {
                true => self.on_message(now, addressed.to, addressed.message, out),
                false => out.push(LedgerEffect::Send(addressed)),
            }
        }
    }

    /// To be called as time passes.
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
        if now >= self.next_abandoned_look {
            self.next_abandoned_look = now + ABANDONED_INTERVAL;
            self.offer_abandoned(now, out);
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.replica.remove_expired(now);
        }
    }

    fn offer_abandoned(&mut self, now: Micros, out: &mut Vec<LedgerEffect>) {
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
