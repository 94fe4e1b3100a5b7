//! A replica's answers to claims: promises, and writes that it accepts.

use super::{record_bytes, AcceptedWrite, Replica, ReplicaEntry};
use super::{MAX_BYTES, MAX_RECORDS, MAX_RECORDS_PER_CUSTOMER, NEVER};
use crate::cluster::ledger::message::{LedgerMessage, RecordSnapshot};
use crate::cluster::ledger::record::{Ballot, RecordId};
use crate::cluster::ledger::settings::{MAX_REQUEST_BYTES, PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;
use std::cmp::Ordering;

impl Replica {
    /// Promises to accept nothing of a lower ballot, or says why not.
    pub(super) fn prepare(&mut self, now: Micros, id: RecordId, ballot: Ballot) -> LedgerMessage {
        let lifetime = self.settings.record_lifetime;
        let Some(entry) = self.entries.get_mut(&id) else {
            return self.promise_first(now, id, ballot);
        };
        let is_current = |write: &&AcceptedWrite| now - write.record_began < lifetime;
        let held = entry.accepted.as_ref().filter(is_current).map(|write| RecordSnapshot {
            ballot: write.ballot,
            sequence: write.sequence,
            record: write.record.clone(),
            age: now - write.record_began,
            since_write: now - write.at,
        });
        // A claim that only asks must not hinder an owner that works.
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

    /// Promises on a record of which it holds nothing, if there is capacity.
    fn promise_first(&mut self, now: Micros, id: RecordId, ballot: Ballot) -> LedgerMessage {
        let of_customer = self.entries_of_customer.get(&id.customer).copied().unwrap_or(0);
        if self.entries.len() >= MAX_RECORDS || of_customer >= MAX_RECORDS_PER_CUSTOMER {
            self.rejections.at_capacity += 1;
            return LedgerMessage::Abstained { id, ballot };
        }
        let entry = ReplicaEntry {
            promised: ballot,
            promised_at: now,
            accepted: None,
            request: None,
            offered_at: None,
        };
        self.entries.insert(id, entry);
        self.mark_changed(id);
        *self.entries_of_customer.entry(id.customer).or_default() += 1;
        LedgerMessage::Promise { id, ballot, held: None }
    }

    /// Accepts a write of whoever has this replica's promise. `since_promise`: how long ago the claim received it;
    /// `age`: the record's. None: it is not answered.
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
        // Only the claim that has this replica's promise writes here.
        if entry.promised != ballot {
            self.rejections.invalid += 1;
            return None;
        }
        match entry.order_of(&write, now, since_promise) {
            WriteOrder::Next => {}
            WriteOrder::Outdated => return None,
            // A second copy changes nothing, least of all when it was accepted.
            WriteOrder::Duplicate => return Some(LedgerMessage::Accepted { id, ballot, sequence }),
            WriteOrder::Late => {
                self.rejections.late += 1;
                return None;
            }
        }
        self.hold(id, write)
    }

    /// Holds a write in place of the last one, if there is capacity.
    fn hold(&mut self, id: RecordId, mut write: AcceptedWrite) -> Option<LedgerMessage> {
        let (ballot, sequence) = (write.ballot, write.sequence);
        let entry = self.entries.get_mut(&id)?;
        if let Some(last) = entry.last_by(ballot) {
            // A later write that was delayed must not make the record younger.
            write.record_began = write.record_began.min(last.record_began);
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

    /// Stores the request of the claim that may write here.
    pub(super) fn store_request(&mut self, id: RecordId, ballot: Ballot, request: Vec<u8>) {
        let has_capacity = self.votes_from != NEVER && self.bytes + request.len() <= MAX_BYTES;
        if !has_capacity || request.len() > MAX_REQUEST_BYTES {
            return;
        }
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.promised != ballot || entry.request.is_some() || entry.is_answered() {
            return;
        }
        self.bytes += request.len();
        entry.request = Some(request);
        self.mark_changed(id);
    }
}

/// How a write stands to those that this replica accepted by the same ballot.
enum WriteOrder {
    Next,
    Duplicate,
    Outdated,
    /// The first one, too long after the promise.
    Late,
}

impl ReplicaEntry {
    /// The last write that was accepted, if it was by this ballot.
    fn last_by(&self, ballot: Ballot) -> Option<&AcceptedWrite> {
        self.accepted.as_ref().filter(|last| last.ballot == ballot)
    }

    fn order_of(&self, write: &AcceptedWrite, now: Micros, since_promise: Micros) -> WriteOrder {
        let Some(last) = self.last_by(write.ballot) else {
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

    fn is_answered(&self) -> bool {
        self.accepted.as_ref().is_some_and(|write| write.record.response.is_some())
    }
}
