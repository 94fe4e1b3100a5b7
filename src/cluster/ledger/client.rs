//! Client of one ledger record: a Paxos proposer that acquires the record and writes it while it holds the lease.

mod prepare;
mod write;

use super::message::{LedgerMessage, RecordSnapshot};
use super::record::{Ballot, Record, RecordId, RecordedAttempt};
use super::settings::{LedgerSettings, MAX_REQUEST_BYTES, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Divisor of the lease that gives the guard time. An owner starts no action within the guard time before the
/// end of its lease, because each action takes time.
const LEASE_GUARD_DIVISOR: u64 = 10;

/// A message and the seat of the replica that it is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AddressedMessage {
    /// Seat of the replica.
    pub to: u16,
    /// Message to send.
    pub message: LedgerMessage,
}

/// Outcome of a claim, or of a write under a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The claim acquired the record and may write it.
    Acquired {
        /// Whether the record existed before.
        existed: bool,
        /// Whether its last owner has given it up, and answers its client itself.
        released: bool,
        /// When the record was created, which is when its first owner claimed it.
        created_at: Micros,
        /// Attempts of earlier owners that may have been executed.
        attempts: Vec<RecordedAttempt>,
    },
    /// Another claim owns the record. The claim's lease ends within the given time unless that claim renews
    /// the lease.
    InProgress(Micros),
    /// The request is completed, with this response.
    Completed(Vec<u8>),
    /// The idempotency key was used with a different request.
    KeyReused,
    /// No quorum of the replicas promised in any round, or the record has had the maximum number of owners.
    Unavailable,
    /// A quorum accepted the write with this sequence number.
    Confirmed(u32),
    /// Another claim took the record over.
    Lost,
}

/// A change that an owner writes to its record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RecordChange {
    /// Records that an attempt is about to be sent to this endpoint.
    AddAttempt(u64),
    /// Gives up ownership, so that the next claim may continue the request.
    Release,
    /// Completes the request with this response.
    Complete(Vec<u8>),
    /// Renews the lease without another change.
    Renew,
}

/// Reply of a replica in the current round.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Reply {
    Promised { received_at: Micros, held: Option<RecordSnapshot> },
    Preempted { promised: Ballot },
    Abstained,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for promises.
    Preparing,
    /// A quorum has promised; nothing is written yet.
    Prepared,
    /// The claim has written the record and knows of no takeover.
    Owner,
    Finished,
}

/// Client of one claim of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerClient {
    id: RecordId,
    settings: LedgerSettings,
    /// Replicas of the record, in the order in which they are contacted.
    replicas: Vec<u16>,
    /// Number of replicas contacted: a quorum at first, all of them when that quorum is slow.
    contacted: usize,
    ballot: Ballot,
    phase: Phase,
    round_started_at: Micros,
    /// Number of prepare rounds before the current one.
    earlier_rounds: u32,
    replies: BTreeMap<u16, Reply>,
    /// Record as last written, without the attempts removed since then. Before the first write: the record
    /// that the first write will contain.
    record: Record,
    record_created_at: Micros,
    /// Sequence number of the last write; 0 before the first.
    sequence: u32,
    first_write_at: Micros,
    last_write_at: Micros,
    /// Time at which the last write was last sent or resent.
    last_sent_at: Micros,
    /// Replicas that accepted the last write.
    accepted_by: BTreeSet<u16>,
    /// Sequence number of the last write that a quorum accepted; 0 before the first.
    confirmed: u32,
    /// End of the lease granted by the last confirmed write.
    lease_until: Micros,
    /// Request that is sent to the replicas with the first write.
    request: Option<Vec<u8>>,
    request_sent: bool,
}

impl LedgerClient {
    /// Starts a claim of a record for a request with this digest and appends the messages to send. `replicas` are the
    /// record's replicas in the order in which they are to be contacted.
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
            round_started_at: now,
            earlier_rounds: 0,
            replies: BTreeMap::new(),
            record: Record { request_digest, lease_ms, ..Record::default() },
            record_created_at: now,
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

    /// Has the request stored at the replicas with the first write, so that another gateway can finish it if this one
    /// fails. A request longer than `MAX_REQUEST_BYTES` is not stored.
    pub fn attach_request(&mut self, request: Vec<u8>) {
        self.request = Some(request).filter(|request| request.len() <= MAX_REQUEST_BYTES);
    }

    /// Returns the identifier of the claimed record.
    pub fn id(&self) -> RecordId {
        self.id
    }

    /// Returns the ballot of the current round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the record as last written, without the attempts removed since then; before the first write,
    /// the record that this write will contain.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns whether the claim has ended and produces no further outcome.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    /// Returns whether no write awaits confirmation by a quorum.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed == self.sequence
    }

    /// Returns whether the claim waits for replies of replicas.
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Preparing || self.is_owner() && !self.is_confirmed()
    }

    /// Returns whether the claim has written the record and knows of no takeover.
    pub fn is_owner(&self) -> bool {
        self.phase == Phase::Owner
    }

    /// Returns whether a quorum has confirmed this owner and its lease runs.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.confirmed > 0 && self.may_act(now)
    }

    /// Returns whether the owner may perform an externally visible action now. It may until the guard time
    /// before the end of its lease; before the first write is confirmed, the lease is counted from that
    /// write. Must be checked immediately before each such action.
    pub fn may_act(&self, now: Micros) -> bool {
        let guard = Micros(self.record.lease().0 / LEASE_GUARD_DIVISOR);
        self.lease_end().is_some_and(|lease_end| now + guard < lease_end)
    }

    /// Returns the end of the owner's lease, after which another claim may take the record over. Returns `None` if the
    /// claim is not the owner.
    pub fn lease_end(&self) -> Option<Micros> {
        let lease_end = match self.confirmed {
            // If a quorum accepted the first write, no other claim can take the record over during this time.
            0 => self.first_write_at + self.record.lease(),
            _ => self.lease_until,
        };
        // A write that releases the record may have reached the replicas although no reply has come.
        (self.is_owner() && self.record.owned).then_some(lease_end)
    }

    /// Handles a reply of a replica and appends the messages to send. Returns the outcome of the claim or of its last
    /// write if the reply decides it.
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
        if self.phase == Phase::Finished || now - self.round_started_at > ROUND_TRIP_LIMIT {
            return None;
        }
        self.replies.entry(from).or_insert(Reply::Promised { received_at: now, held });
        match self.phase {
            Phase::Preparing => self.evaluate_replies(now, out),
            Phase::Owner => {
                // A replica that promised late receives the last write as well.
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
