//! A replica: the records that this gateway holds for others (a Paxos acceptor for each).

pub(super) mod abandoned;
mod vote;

use super::message::LedgerMessage;
use super::record::{Ballot, Record, RecordId};
use super::settings::{LedgerSettings, PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most records that a replica holds.
const MAX_RECORDS: usize = 20_000;
/// The most of them that one customer has.
const MAX_RECORDS_PER_CUSTOMER: usize = MAX_RECORDS / 8;
/// The most bytes of records and requests that a replica holds.
const MAX_BYTES: usize = 4 << 20;
/// What a record takes in memory beside its attempts and its response, in bytes, about.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// What an attempt takes in memory, in bytes.
const ATTEMPT_BYTES: usize = 16;
/// When a replica without a vote votes.
const NEVER: Micros = Micros(u64::MAX);

/// A write that was accepted. A disk form: the order of fields counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AcceptedWrite {
    ballot: Ballot,
    sequence: u32,
    record: Record,
    /// When it was accepted.
    at: Micros,
    /// When the record began, by the age that came with it.
    record_began: Micros,
}

/// All that a replica holds of a record. A disk form: the order of fields counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaEntry {
    promised: Ballot,
    promised_at: Micros,
    accepted: Option<AcceptedWrite>,
    /// The request, where its owner wants it finished whatever happens.
    request: Option<Vec<u8>>,
    /// When the request was last offered to be finished.
    offered_at: Option<Micros>,
}

impl ReplicaEntry {
    /// What it takes in memory, in bytes, about.
    fn bytes(&self) -> usize {
        let accepted = self.accepted.as_ref().map_or(0, |write| record_bytes(&write.record));
        accepted + self.request.as_ref().map_or(0, Vec::len)
    }

    /// The same with its times converted to another clock.
    pub fn with_times(mut self, convert: impl Fn(Micros) -> Micros) -> ReplicaEntry {
        self.promised_at = convert(self.promised_at);
        self.offered_at = self.offered_at.map(&convert);
        if let Some(write) = self.accepted.as_mut() {
            write.at = convert(write.at);
            write.record_began = convert(write.record_began);
        }
        self
    }
}

/// How many messages a replica rejected, by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RejectionCounts {
    /// It had no vote yet.
    pub not_voting: u64,
    /// It had no capacity, or the customer had too much of it.
    pub at_capacity: u64,
    /// A write came too late.
    pub late: u64,
    /// A write without a promise, or of a record that no claim may write.
    pub invalid: u64,
}

/// The records that this gateway holds for others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    settings: LedgerSettings,
    votes_from: Micros,
    entries: BTreeMap<RecordId, ReplicaEntry>,
    entries_of_customer: BTreeMap<u64, usize>,
    bytes: usize,
    /// What has changed since it was last asked for; none where the gateway has no storage.
    changed: Option<BTreeSet<RecordId>>,
    /// What it rejected.
    pub rejections: RejectionCounts,
}

fn record_bytes(record: &Record) -> usize {
    let response = record.response.as_ref().map_or(0, Vec::len);
    RECORD_OVERHEAD_BYTES + record.attempts.len() * ATTEMPT_BYTES + response
}

impl Replica {
    /// A replica that starts now and remembers nothing.
    pub fn new(settings: LedgerSettings, now: Micros) -> Replica {
        Replica {
            settings,
            votes_from: now + settings.vote_delay(),
            entries: BTreeMap::new(),
            entries_of_customer: BTreeMap::new(),
            bytes: 0,
            changed: None,
            rejections: RejectionCounts::default(),
        }
    }

    /// It has no vote until its storage is read, and notes what changes from then on.
    pub fn await_storage(&mut self) {
        self.votes_from = NEVER;
        self.changed = Some(BTreeSet::new());
    }

    /// Its storage is read and held these. `complete`: it is all that earlier processes promised and accepted, so that it votes at once;
    /// otherwise it waits as one that starts without.
    pub fn restore(&mut self, now: Micros, entries: Vec<(RecordId, ReplicaEntry)>, complete: bool) {
        self.votes_from = if complete { now } else { now + self.settings.vote_delay() };
        for (id, entry) in entries {
            self.bytes += entry.bytes();
            if self.entries.insert(id, entry).is_none() {
                *self.entries_of_customer.entry(id.customer).or_default() += 1;
            }
        }
    }

    /// Its storage takes nothing more: it gives up its vote.
    pub fn lose_storage(&mut self) {
        self.votes_from = NEVER;
        self.changed = None;
    }

    /// What has changed since this was last called, and what is held of it now.
    pub fn take_changed(&mut self) -> Vec<(RecordId, Option<ReplicaEntry>)> {
        let changed = self.changed.as_mut().map(std::mem::take).unwrap_or_default();
        changed.into_iter().map(|id| (id, self.entries.get(&id).cloned())).collect()
    }

    fn mark_changed(&mut self, id: RecordId) {
        if let Some(changed) = self.changed.as_mut() {
            changed.insert(id);
        }
    }

    /// Whether it has a vote.
    pub fn has_vote(&self, now: Micros) -> bool {
        now >= self.votes_from
    }

    /// How many records it holds, those that were only promised among them.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers a message to a replica; others get no answer.
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
                let write = AcceptedWrite { ballot, sequence, record, at: now, record_began: now - age };
                self.accept(now, id, write, since_promise, age)
            }
            LedgerMessage::Promise { .. }
            | LedgerMessage::Locked { .. }
            | LedgerMessage::Preempted { .. }
            | LedgerMessage::Abstained { .. }
            | LedgerMessage::Accepted { .. } => None,
        }
    }

    /// Removes what nobody can need: promises on which nothing was written, and records that have expired for so long
    /// that no replica takes them for current.
    pub fn remove_expired(&mut self, now: Micros) {
        let retention = self.settings.record_lifetime + self.settings.ballot_retention();
        let promise_retention = PROMISE_LIFETIME + ROUND_TRIP_LIMIT + ROUND_TRIP_LIMIT;
        let expired: Vec<RecordId> = self
            .entries
            .iter()
            .filter(|(_, entry)| now - entry.promised_at > promise_retention)
            .filter(|(_, entry)| {
                entry.accepted.as_ref().is_none_or(|write| now - write.record_began > retention)
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
        if let Some(count) = self.entries_of_customer.get_mut(&id.customer) {
            *count -= 1;
            if *count == 0 {
                self.entries_of_customer.remove(&id.customer);
            }
        }
    }
}
