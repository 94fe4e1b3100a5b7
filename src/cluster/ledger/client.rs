//! One claim of a record: acquires it, and writes it while it is the owner (a Paxos proposer with a lease).

mod prepare;
mod write;

use super::message::{LedgerMessage, RecordSnapshot};
use super::record::{Ballot, Record, RecordId, RecordedAttempt};
use super::settings::{LedgerSettings, MAX_REQUEST_BYTES, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An owner stops acting when this part of its lease is left, as what it begins takes time.
const LEASE_GUARD_DIVISOR: u64 = 10;

/// A message to the replica in a seat.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AddressedMessage {
    /// The replica's seat.
    pub to: u16,
    /// The message.
    pub message: LedgerMessage,
}

/// What became of a claim, or of a write under it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The record is the claim's to write.
    Acquired {
        /// There was a record before.
        existed: bool,
        /// Attempts of earlier owners that may have run.
        attempts: Vec<RecordedAttempt>,
    },
    /// Another owns it, for so long at most unless it renews its lease.
    InProgress(Micros),
    /// It is done, with this response.
    Completed(Vec<u8>),
    /// The idempotency key was used with another request.
    KeyReused,
    /// No quorum of the replicas can be had.
    Unavailable,
    /// The write of this number is confirmed by a quorum.
    Confirmed(u32),
    /// Another took the record over.
    Lost,
}

/// What an owner writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RecordChange {
    /// An attempt is about to be sent to this endpoint.
    AddAttempt(u64),
    /// The owner gives the request up: whoever claims the record continues.
    Release,
    /// The request is done, with this response.
    Complete(Vec<u8>),
    /// Nothing but a longer lease.
    Renew,
}

/// What a replica replied in this round.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reply {
    Promised { at: Micros, held: Option<RecordSnapshot> },
    Preempted { promised: Ballot },
    Abstained,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Asks for promises.
    Preparing,
    /// A quorum promised; nothing is written yet.
    Prepared,
    /// It has written, and is the owner for all that it knows.
    Owner,
    Finished,
}

/// One claim of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerClient {
    id: RecordId,
    settings: LedgerSettings,
    /// The record's replicas, nearest first.
    replicas: Vec<u16>,
    /// How many of them are asked: first a quorum, the others where those are slow.
    contacted: usize,
    ballot: Ballot,
    phase: Phase,
    round_began: Micros,
    /// Rounds of prepare messages that came before this one.
    earlier_rounds: u32,
    replies: BTreeMap<u16, Reply>,
    /// The record as it was written last, or will be.
    record: Record,
    record_began: Micros,
    /// The number of the last write; 0: none yet.
    sequence: u32,
    first_write_at: Micros,
    last_write_at: Micros,
    /// When the last write was last sent.
    last_sent_at: Micros,
    /// Replicas that accepted the last write.
    accepted_by: BTreeSet<u16>,
    /// The number of the last write that a quorum accepted; 0: none yet.
    confirmed: u32,
    /// The end of the lease that the last confirmed write gave.
    lease_until: Micros,
    /// The request, which goes to the replicas with the first write.
    request: Option<Vec<u8>>,
    request_sent: bool,
}

impl LedgerClient {
    /// Claims a record for a request of this digest. `replicas`: those that hold it, those that answer soonest first.
    /// Appends what is to be sent.
    pub fn begin(
        id: RecordId,
        request_digest: u64,
        ballot: Ballot,
        replicas: Vec<u16>,
        settings: LedgerSettings,
        now: Micros,
        out: &mut Vec<AddressedMessage>,
    ) -> LedgerClient {
        let lease_ms = (settings.lease.0 / 1000) as u32;
        let mut client = LedgerClient {
            id,
            settings,
            contacted: settings.quorum().min(replicas.len()),
            replicas,
            ballot,
            phase: Phase::Preparing,
            round_began: now,
            earlier_rounds: 0,
            replies: BTreeMap::new(),
            record: Record { request_digest, lease_ms, ..Record::default() },
            record_began: now,
            sequence: 0,
            first_write_at: now,
            last_write_at: now,
            last_sent_at: now,
            accepted_by: BTreeSet::new(),
            confirmed: 0,
            lease_until: Micros(0),
            request: None,
            request_sent: false,
        };
        client.begin_round(now, out);
        client
    }

    /// The request is to be stored with the replicas, so that it is finished whoever dies. One that is too long is not.
    pub fn attach_request(&mut self, request: Vec<u8>) {
        self.request = Some(request).filter(|request| request.len() <= MAX_REQUEST_BYTES);
    }

    /// Which record.
    pub fn id(&self) -> RecordId {
        self.id
    }

    /// By which ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The record as it was written last, or will be.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether nothing more comes of it.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Whether its last write was confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed == self.sequence
    }

    /// Whether it waits for its replicas.
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Preparing || self.is_owner() && !self.is_confirmed()
    }

    /// Whether it has written, and is the owner for all that it knows.
    pub fn is_owner(&self) -> bool {
        self.phase == Phase::Owner
    }

    /// Whether a quorum has confirmed it as the owner, and its lease runs.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.confirmed > 0 && self.may_act(now)
    }

    /// Whether the owner may do something now that others see: under its lease or, where the replicas have not
    /// answered yet, without. To be asked at the last moment before each such act.
    pub fn may_act(&self, now: Micros) -> bool {
        let until = match self.confirmed {
            // Nobody takes over what was just written, where a quorum holds it at all.
            0 => self.first_write_at + self.record.lease(),
            _ => self.lease_until,
        };
        let guard = Micros(self.record.lease().0 / LEASE_GUARD_DIVISOR);
        // With its last write it releases the record: that may have come, though no answer to it has.
        self.is_owner() && self.record.owned && now + guard < until
    }

    /// Handles a replica's message; what the claim found out, if anything. Appends what is to be sent.
    pub fn on_message(
        &mut self,
        now: Micros,
        from: u16,
        message: LedgerMessage,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<ClaimOutcome> {
        let is_current = message.reply_ballot() == Some(self.ballot);
        if !is_current || !self.replicas.contains(&from) {
            return None;
        }
        match message {
            LedgerMessage::Promise { held, .. } => self.on_promise(now, from, held, out),
            LedgerMessage::Locked { held, .. } if self.phase == Phase::Preparing => {
                self.phase = Phase::Finished;
                Some(self.outcome_of_locked(held))
            }
            LedgerMessage::Preempted { promised, .. } => self.on_preempted(now, from, promised, out),
            LedgerMessage::Abstained { .. } if self.phase == Phase::Preparing => {
                self.replies.insert(from, Reply::Abstained);
                self.evaluate_replies(now, out)
            }
            LedgerMessage::Accepted { sequence, .. } if self.is_owner() => self.on_accepted(from, sequence),
            _ => None,
        }
    }

    fn on_promise(
        &mut self,
        now: Micros,
        from: u16,
        held: Option<RecordSnapshot>,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<ClaimOutcome> {
        if self.phase == Phase::Finished || now - self.round_began > ROUND_TRIP_LIMIT {
            return None;
        }
        self.replies.entry(from).or_insert(Reply::Promised { at: now, held });
        match self.phase {
            Phase::Preparing => self.evaluate_replies(now, out),
            Phase::Owner => {
                // One that promised late holds it as well.
                out.extend(self.accept_message(now, from));
                None
            }
            Phase::Prepared | Phase::Finished => None,
        }
    }

    fn on_preempted(
        &mut self,
        now: Micros,
        from: u16,
        promised: Ballot,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<ClaimOutcome> {
        match self.phase {
            Phase::Preparing => {
                self.replies.insert(from, Reply::Preempted { promised });
                self.evaluate_replies(now, out)
            }
            Phase::Owner if promised > self.ballot => {
                self.replies.insert(from, Reply::Preempted { promised });
                let is_preempted = |reply: &&Reply| matches!(reply, Reply::Preempted { .. });
                let preempted = self.replies.values().filter(is_preempted).count();
                if self.replicas.len() - preempted >= self.settings.quorum() {
                    return None;
                }
                self.phase = Phase::Finished;
                Some(ClaimOutcome::Lost)
            }
            Phase::Owner | Phase::Prepared | Phase::Finished => None,
        }
    }
}
