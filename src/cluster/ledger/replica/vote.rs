//! Votes of a replica: promises to ballots and acceptance of writes.

use super::{record_bytes, AcceptedWrite, Replica, ReplicaEntry};
use super::{MAX_BYTES, MAX_RECORDS, MAX_RECORDS_PER_CUSTOMER, NEVER};
use crate::cluster::ledger::message::{LedgerMessage, RecordSnapshot};
use crate::cluster::ledger::record::{Ballot, RecordId};
use crate::cluster::ledger::settings::{MAX_REQUEST_BYTES, PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use std::cmp::Ordering;

impl Replica {
    /// Promises to accept no write of a lower ballot, or replies with the reason for refusing.
    pub(super) fn prepare(&mut self, now: Micros, id: RecordId, ballot: Ballot) -> LedgerMessage {
        let lifetime = self.settings.record_lifetime;
        let Some(entry) = self.entries.get_mut(&id) else {
            return self.promise_first(now, id, ballot);
        };
        let is_current = |write: &&AcceptedWrite| now - write.record_created_at < lifetime;
        let held = entry.accepted.as_ref().filter(is_current).map(|write| RecordSnapshot {
            ballot: write.ballot,
            sequence: write.sequence,
            record: write.record.clone(),
            age: now - write.record_created_at,
            since_write: now - write.accepted_at,
        });
        // A completed record does not change. For a record whose owner's lease may still run, a promise to
        // another claim would make this replica reject the owner's writes.
        if let Some(held) = held.as_ref().filter(|held| held.record.is_locked(held.since_write)) {
            return LedgerMessage::Locked { id, ballot, held: held.clone() };
        }
        if ballot < entry.promised {
            return LedgerMessage::Preempted { id, ballot, promised: entry.promised };
        }
        if ballot > entry.promised {
            entry.promised = ballot;
            entry.promised_at = now;
            self.mark_changed(id);
        }
        LedgerMessage::Promise { id, ballot, held }
    }

    /// Promises on a record that has no entry yet, if there is capacity.
    fn promise_first(&mut self, now: Micros, id: RecordId, ballot: Ballot) -> LedgerMessage {
        let customer_entries = self.entries_per_customer.get(&id.customer).copied().unwrap_or(0);
        if self.entries.len() >= MAX_RECORDS || customer_entries >= MAX_RECORDS_PER_CUSTOMER {
            self.rejections.at_capacity += 1;
            return LedgerMessage::Abstained { id, ballot };
        }
        let entry = ReplicaEntry {
            promised: ballot,
            promised_at: now,
            accepted: None,
            request: None,
            reported_at: None,
        };
        self.entries.insert(id, entry);
        self.mark_changed(id);
        *self.entries_per_customer.entry(id.customer).or_default() += 1;
        LedgerMessage::Promise { id, ballot, held: None }
    }

    /// Accepts a write of the claim that has this replica's promise. `since_promise` is the time since the
    /// client received the promise, `age` the age of the record. Returns `None` if the write is dropped without
    /// a reply.
    pub(super) fn accept(
        &mut self,
        now: Micros,
        id: RecordId,
        write: AcceptedWrite,
        since_promise: Micros,
        age: Micros,
    ) -> Option<LedgerMessage> {
        if !write.record.fits() || age >= self.settings.record_lifetime {
            self.rejections.invalid += 1;
            return None;
        }
        let (ballot, sequence) = (write.ballot, write.sequence);
        let Some(entry) = self.entries.get(&id) else {
            self.rejections.invalid += 1;
            return None;
        };
        if entry.promised > ballot {
            return Some(LedgerMessage::Preempted { id, ballot, promised: entry.promised });
        }
        // Only the claim that has this replica's promise may write.
        if entry.promised != ballot {
            self.rejections.invalid += 1;
            return None;
        }
        match entry.write_order(&write, now, since_promise) {
            WriteOrder::Next => {}
            WriteOrder::Outdated => return None,
            // A duplicate must change nothing, in particular not the time of acceptance, from which the lease counts.
            WriteOrder::Duplicate => return Some(LedgerMessage::Accepted { id, ballot, sequence }),
            WriteOrder::Late => {
                self.rejections.late += 1;
                return None;
            }
        }
        self.replace_accepted(id, write)
    }

    /// Replaces the last accepted write, if there is capacity.
    fn replace_accepted(&mut self, id: RecordId, mut write: AcceptedWrite) -> Option<LedgerMessage> {
        let (ballot, sequence) = (write.ballot, write.sequence);
        let entry = self.entries.get_mut(&id)?;
        if let Some(last) = entry.last_write_by(ballot) {
            // A delayed later write must not reduce the age of the record.
            write.record_created_at = write.record_created_at.min(last.record_created_at);
        }
        let bytes_before = entry.bytes();
        if write.record.response.is_some() {
            entry.request = None;
        }
        let request_bytes = entry.request.as_ref().map_or(0, Vec::len);
        let bytes = self.bytes - bytes_before + record_bytes(&write.record) + request_bytes;
        if bytes > MAX_BYTES {
            self.rejections.at_capacity += 1;
            return Some(LedgerMessage::Abstained { id, ballot });
        }
        self.bytes = bytes;
        entry.accepted = Some(write);
        self.mark_changed(id);
        Some(LedgerMessage::Accepted { id, ballot, sequence })
    }

    /// Stores the request of the claim that has this replica's promise.
    pub(super) fn store_request(&mut self, id: RecordId, ballot: Ballot, request: Vec<u8>) {
        let has_capacity = self.votes_from != NEVER && self.bytes + request.len() <= MAX_BYTES;
        if !has_capacity || request.len() > MAX_REQUEST_BYTES {
            return;
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.promised != ballot || entry.request.is_some() || entry.is_completed() {
            return;
        }
        self.bytes += request.len();
        entry.request = Some(request);
        self.mark_changed(id);
    }
}

/// Order of a write relative to the last one that this replica accepted for the same ballot.
enum WriteOrder {
    /// The write is the first of its ballot, or has a higher sequence number than the last accepted write.
    Next,
    Duplicate,
    Outdated,
    /// The write is the first of its ballot and arrived too long after the promise.
    Late,
}

impl ReplicaEntry {
    /// Returns the last accepted write if it has this ballot.
    fn last_write_by(&self, ballot: Ballot) -> Option<&AcceptedWrite> {
        self.accepted.as_ref().filter(|last| last.ballot == ballot)
    }

    fn write_order(&self, write: &AcceptedWrite, now: Micros, since_promise: Micros) -> WriteOrder {
        let Some(last) = self.last_write_by(write.ballot) else {
            let promised_for = now - self.promised_at;
            let is_late = promised_for > PROMISE_LIFETIME || promised_for - since_promise > ROUND_TRIP_LIMIT;
            return if is_late { WriteOrder::Late } else { WriteOrder::Next };
        };
        match write.sequence.cmp(&last.sequence) {
            Ordering::Less => WriteOrder::Outdated,
            Ordering::Equal => WriteOrder::Duplicate,
            Ordering::Greater => WriteOrder::Next,
        }
    }

    fn is_completed(&self) -> bool {
        self.accepted.as_ref().is_some_and(|write| write.record.response.is_some())
    }
}
