//! Replica of the ledger: a Paxos acceptor for each record that this gateway holds.

pub(super) mod abandoned;
mod vote;

use super::message::LedgerMessage;
use super::record::{Ballot, Record, RecordId};
use super::settings::{LedgerSettings, PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of records at a replica.
const MAX_RECORDS: usize = 20_000;
/// Maximum number of records of one customer at a replica.
const MAX_RECORDS_PER_CUSTOMER: usize = MAX_RECORDS / 8;
/// Maximum total size of the records and requests at a replica, in bytes.
const MAX_BYTES: usize = 4 << 20;
/// Approximate memory of a record without its attempts and its response, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Memory of one attempt, in bytes.
const ATTEMPT_BYTES: usize = 16;
/// Value of `votes_from` for a replica that has no vote.
const NEVER: Micros = Micros(u64::MAX);

/// An accepted write. Stored in postcard, so fields must keep their order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AcceptedWrite {
    ballot: Ballot,
    sequence: u32,
    record: Record,
    /// Time at which the write was accepted.
    accepted_at: Micros,
    /// Time at which the record was created, computed from the age that came with the write.
    record_created_at: Micros,
}

/// State of one record at a replica. Stored in postcard, so fields must keep their order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaEntry {
    promised: Ballot,
    promised_at: Micros,
    accepted: Option<AcceptedWrite>,
    /// Request that the record protects, if the record's owner had the request stored so that another gateway
    /// can finish it.
    request: Option<Vec<u8>>,
    /// Time at which the request was last reported as abandoned.
    reported_at: Option<Micros>,
}

impl ReplicaEntry {
    /// Returns the approximate memory of the entry, in bytes.
    fn bytes(&self) -> usize {
        let accepted = self.accepted.as_ref().map_or(0, |write| record_bytes(&write.record));
        accepted + self.request.as_ref().map_or(0, Vec::len)
    }

    /// Returns the entry with its times converted to another clock.
    pub fn with_times(mut self, convert: impl Fn(Micros) -> Micros) -> ReplicaEntry {
        self.promised_at = convert(self.promised_at);
        self.reported_at = self.reported_at.map(&convert);
        if let Some(write) = self.accepted.as_mut() {
            write.accepted_at = convert(write.accepted_at);
            write.record_created_at = convert(write.record_created_at);
        }
        self
    }
}

/// Numbers of messages that a replica rejected, by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RejectionCounts {
    /// The replica had no vote.
    pub not_voting: u64,
    /// The replica was at capacity, in total or for this customer.
    pub at_capacity: u64,
    /// The first write of a ballot came too late after the promise.
    pub late: u64,
    /// The replica had made no promise to the write's ballot, or the record was too large or expired.
    pub invalid: u64,
}

/// A replica of the ledger: the records that this gateway holds for the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    settings: LedgerSettings,
    votes_from: Micros,
    entries: BTreeMap<RecordId, ReplicaEntry>,
    entries_per_customer: BTreeMap<u64, usize>,
    bytes: usize,
    /// Records changed since the last call of `take_changed`; `None` if the gateway has no storage.
    changed: Option<BTreeSet<RecordId>>,
    /// Numbers of rejected messages.
    pub rejections: RejectionCounts,
}

fn record_bytes(record: &Record) -> usize {
    let response = record.response.as_ref().map_or(0, Vec::len);
    RECORD_OVERHEAD_BYTES + record.attempts.len() * ATTEMPT_BYTES + response
}

impl Replica {
    /// Creates a replica without stored state. It has no vote until the vote delay is over.
    pub fn new(settings: LedgerSettings, now: Micros) -> Replica {
        Replica {
            settings,
            votes_from: now + settings.vote_delay(),
            entries: BTreeMap::new(),
            entries_per_customer: BTreeMap::new(),
            bytes: 0,
            changed: None,
            rejections: RejectionCounts::default(),
        }
    }

    /// Withholds the replica's vote until `restore` is called, and tracks changes from now on.
    pub fn await_storage(&mut self) {
        self.votes_from = NEVER;
        self.changed = Some(BTreeSet::new());
    }

    /// Restores the entries that were read from storage. If they are `complete`, that is, all that earlier
    /// processes promised and accepted, the replica votes at once; otherwise it waits for the vote delay, like
    /// a replica without stored state.
    pub fn restore(&mut self, now: Micros, entries: Vec<(RecordId, ReplicaEntry)>, complete: bool) {
        self.votes_from = if complete { now } else { now + self.settings.vote_delay() };
        for (id, entry) in entries {
            self.bytes += entry.bytes();
            if self.entries.insert(id, entry).is_none() {
                *self.entries_per_customer.entry(id.customer).or_default() += 1;
            }
        }
    }

    /// Gives up the replica's vote. Called when its storage has failed.
    pub fn lose_storage(&mut self) {
        self.votes_from = NEVER;
        self.changed = None;
    }

    /// Returns the records changed since the last call with their current entries, `None` for removed ones.
    pub fn take_changed(&mut self) -> Vec<(RecordId, Option<ReplicaEntry>)> {
        let changed = self.changed.as_mut().map(std::mem::take).unwrap_or_default();
        changed.into_iter().map(|id| (id, self.entries.get(&id).cloned())).collect()
    }

    fn mark_changed(&mut self, id: RecordId) {
        if let Some(changed) = self.changed.as_mut() {
            changed.insert(id);
        }
    }

    /// Returns whether the replica has a vote.
    pub fn has_vote(&self, now: Micros) -> bool {
        now >= self.votes_from
    }

    /// Returns the number of records, including those with a promise but no write.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the replica holds no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles a message to a replica and returns the reply. Replies of replicas, which are meant for clients,
    /// are ignored.
    pub fn on_message(&mut self, now: Micros, message: LedgerMessage) -> Option<LedgerMessage> {
        match message {
            LedgerMessage::Prepare { id, ballot } | LedgerMessage::Accept { id, ballot, .. }
                if !self.has_vote(now) =>
            {
                self.rejections.not_voting += 1;
                Some(LedgerMessage::Abstained { id, ballot })
            }
            LedgerMessage::StoreRequest { id, ballot, request } => {
                self.store_request(id, ballot, request);
                None
            }
            LedgerMessage::Prepare { id, ballot } => Some(self.prepare(now, id, ballot)),
            LedgerMessage::Accept { id, ballot, sequence, since_promise, age, record } => {
                let write = AcceptedWrite {
                    ballot,
                    sequence,
                    record,
                    accepted_at: now,
                    record_created_at: now - age,
                };
                self.accept(now, id, write, since_promise, age)
            }
            LedgerMessage::Promise { .. }
            | LedgerMessage::Locked { .. }
            | LedgerMessage::Preempted { .. }
            | LedgerMessage::Abstained { .. }
            | LedgerMessage::Accepted { .. } => None,
        }
    }

    /// Removes entries that can no longer matter: promises that no write followed, and records that expired so
    /// long ago that no replica can still regard them as current.
    pub fn remove_expired(&mut self, now: Micros) {
        let retention = self.settings.record_lifetime + self.settings.ballot_retention();
        let promise_retention = PROMISE_LIFETIME + ROUND_TRIP_LIMIT + ROUND_TRIP_LIMIT;
        let expired: Vec<RecordId> = self
            .entries
            .iter()
            .filter(|(_, entry)| now - entry.promised_at > promise_retention)
            .filter(|(_, entry)| {
                entry.accepted.as_ref().is_none_or(|write| now - write.record_created_at > retention)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: RecordId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.mark_changed(id);
        self.bytes -= entry.bytes();
        if let Some(count) = self.entries_per_customer.get_mut(&id.customer) {
            *count -= 1;
            if *count == 0 {
                self.entries_per_customer.remove(&id.customer);
            }
        }
    }
}
