//! Writes a record as its owner (Paxos phase 2): each write is resent until a quorum has accepted it, and renews the
//! lease.

use super::{AddressedMessage, ClaimOutcome, LedgerClient, Phase, RecordChange, Reply};
use crate::cluster::ledger::message::LedgerMessage;
use crate::cluster::ledger::record::SentAttempt;
use crate::cluster::ledger::settings::{PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;

/// Interval at which an unconfirmed write is resent.
const RESEND_AFTER: Micros = Micros(50_000);
/// Divisor of the lease that gives the renewal interval; the rest of the lease leaves time for a second attempt.
const RENEWAL_DIVISOR: u64 = 2;
/// Maximum number of attempts in a record.
const MAX_ATTEMPTS: usize = 8;

impl LedgerClient {
    /// Writes a change to the record and appends the messages to send. Returns the sequence number of the
    /// write, which is not confirmed yet, or `None` if the record may not be written.
    pub fn write(
        &mut self,
        now: Micros,
        change: RecordChange,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<u32> {
        match self.phase {
            Phase::Prepared if now - self.round_started_at > PROMISE_LIFETIME - ROUND_TRIP_LIMIT => {
                return None
            }
            Phase::Prepared => self.become_owner(now, out),
            Phase::Owner => {}
            Phase::Preparing | Phase::Finished => return None,
        }
        self.record.owned = matches!(change, RecordChange::AddAttempt(_) | RecordChange::Renew);
        match change {
            RecordChange::AddAttempt(endpoint) => {
                if self.record.attempts.len() >= MAX_ATTEMPTS {
                    return None;
                }
                let age_ms = (now - self.record_created_at).0 / 1000;
                let record_age_ms = age_ms.min(u64::from(u32::MAX)) as u32;
                self.record.attempts.push(SentAttempt { endpoint, record_age_ms });
            }
            RecordChange::Complete(response) => {
                self.record.response = Some(response);
                if !self.record.fits() {
                    // The response is too long to store: a retry of the client is sent to an endpoint again,
                    // where the request allows that.
                    self.record.response = None;
                }
            }
            RecordChange::Release | RecordChange::Renew => {}
        }
        let receivers = self.receivers();
        self.sequence += 1;
        self.last_write_at = now;
        self.last_sent_at = now;
        self.accepted_by.clear();
        out.extend(receivers.into_iter().filter_map(|to| self.accept_message(now, to)));
        Some(self.sequence)
    }

    fn become_owner(&mut self, now: Micros, out: &mut Vec<AddressedMessage>) {
        self.record.fence += 1;
        self.phase = Phase::Owner;
        self.first_write_at = now;
        let Some(request) = self.request.take() else { return };
        self.request_sent = true;
        let (id, ballot) = (self.id, self.ballot);
        let promised = self.replies.iter().filter(|(_, reply)| matches!(reply, Reply::Promised { .. }));
        out.extend(promised.map(|(to, _)| AddressedMessage {
            to: *to,
            message: LedgerMessage::StoreRequest { id, ballot, request: request.clone() },
        }));
    }

    /// Returns the replicas to which the next write is sent first. A quorum that accepted the last write is
    /// enough: if one of its members does not reply, `resend` includes the others. The first write and one
    /// after an unconfirmed write go to all replicas, and so does each write of a record whose request is
    /// stored: a replica that holds the request and is told nothing offers it as abandoned.
    fn receivers(&self) -> Vec<u16> {
        let quorum_is_enough = self.is_confirmed() && self.sequence > 0 && !self.request_sent;
        match quorum_is_enough {
            true => self.accepted_by.iter().copied().take(self.settings.quorum()).collect(),
            false => self.replicas.clone(),
        }
    }

    /// Removes the last attempt at this endpoint, which is known not to have been executed. The next write
    /// contains the removal.
    pub fn remove_attempt(&mut self, endpoint: u64) {
        let last = self.record.attempts.iter().rposition(|attempt| attempt.endpoint == endpoint);
        if let Some(index) = last {
            self.record.attempts.remove(index);
        }
    }

    /// Returns a message with the last write for a replica that has promised, otherwise `None`.
    pub(super) fn accept_message(&self, now: Micros, to: u16) -> Option<AddressedMessage> {
        let Some(Reply::Promised { received_at, .. }) = self.replies.get(&to) else { return None };
        let message = LedgerMessage::Accept {
            id: self.id,
            ballot: self.ballot,
            sequence: self.sequence,
            since_promise: now - *received_at,
            age: now - self.record_created_at,
            record: self.record.clone(),
        };
        Some(AddressedMessage { to, message })
    }

    pub(super) fn on_accepted(&mut self, from: u16, sequence: u32) -> Option<ClaimOutcome> {
        if sequence != self.sequence || self.confirmed == sequence {
            return None;
        }
        self.accepted_by.insert(from);
        if self.accepted_by.len() < self.settings.quorum() {
            return None;
        }
        self.confirmed = sequence;
        let lease_end = self.last_write_at + self.record.lease();
        self.lease_until = lease_end.min(self.record_created_at + self.settings.record_lifetime);
        Some(ClaimOutcome::Confirmed(sequence))
    }

    /// Called on each tick: resends an unconfirmed write, or renews the lease of an owner that has not released
    /// the record.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<AddressedMessage>) {
        if !self.is_owner() {
            return;
        }
        if !self.is_confirmed() {
            self.resend(now, out);
        } else if self.record.owned && now - self.last_write_at >= self.renewal_interval() {
            self.write(now, RecordChange::Renew, out);
        }
    }

    fn renewal_interval(&self) -> Micros {
        Micros(self.record.lease().0 / RENEWAL_DIVISOR)
    }

    fn resend(&mut self, now: Micros, out: &mut Vec<AddressedMessage>) {
        if now - self.last_sent_at < RESEND_AFTER {
            return;
        }
        self.last_sent_at = now;
        if now - self.round_started_at <= ROUND_TRIP_LIMIT {
            self.contact_all(out);
        }
        let without_acceptance = self.replicas.iter().filter(|replica| !self.accepted_by.contains(replica));
        out.extend(without_acceptance.filter_map(|to| self.accept_message(now, *to)));
    }
}
