//! Writing a record as its owner: each write is sent until a quorum has accepted it (Paxos phase 2), and renews the lease.

use super::{AddressedMessage, ClaimOutcome, LedgerClient, Phase, RecordChange, Reply};
use crate::cluster::ledger::message::LedgerMessage;
use crate::cluster::ledger::record::SentAttempt;
use crate::cluster::ledger::settings::{PROMISE_LIFETIME, ROUND_TRIP_LIMIT};
use crate::decision::Micros;

/// A write that is not confirmed is sent again after this.
const RESEND_AFTER: Micros = Micros(50_000);
/// A lease is renewed when one part in so many of it is over: what is left has time for a second try.
const RENEWAL_DIVISOR: u64 = 2;
/// The most attempts that a record lists.
const MAX_ATTEMPTS: usize = 8;

impl LedgerClient {
    /// Writes the record; the number of the write, which is not confirmed yet, or none where it may not be written.
    pub fn write(
        &mut self,
        now: Micros,
        change: RecordChange,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<u32> {
        match self.phase {
            Phase::Prepared if now - self.round_began > PROMISE_LIFETIME - ROUND_TRIP_LIMIT => return None,
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
                let age_ms = (now - self.record_began).0 / 1000;
                let record_age_ms = age_ms.min(u64::from(u32::MAX)) as u32;
                self.record.attempts.push(SentAttempt { endpoint, record_age_ms });
            }
            RecordChange::Complete(response) => {
                self.record.response = Some(response);
                if !self.record.fits() {
                    // Too long to be held: whoever comes again is sent to an endpoint, if that is allowed.
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

    /// To whom the next write goes first. A quorum that accepted the last is enough, and where one of it is silent the
    /// others are sent it with the next tick; but all that hold the request have to learn that it is completed.
    fn receivers(&self) -> Vec<u16> {
        let quorum_is_enough =
            self.is_confirmed() && self.sequence > 0 && (self.record.owned || !self.request_sent);
        match quorum_is_enough {
            true => self.accepted_by.iter().copied().take(self.settings.quorum()).collect(),
            false => self.replicas.clone(),
        }
    }

    /// An attempt at this endpoint surely never ran; the next write says so.
    pub fn remove_attempt(&mut self, endpoint: u64) {
        let last = self.record.attempts.iter().rposition(|attempt| attempt.endpoint == endpoint);
        if let Some(index) = last {
            self.record.attempts.remove(index);
        }
    }

    /// The last write, for a replica that promised.
    pub(super) fn accept_message(&self, now: Micros, to: u16) -> Option<AddressedMessage> {
        let Some(Reply::Promised { at, .. }) = self.replies.get(&to) else { return None };
        let message = LedgerMessage::Accept {
            id: self.id,
            ballot: self.ballot,
            sequence: self.sequence,
            since_promise: now - *at,
            age: now - self.record_began,
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
        let lease_over = self.last_write_at + self.record.lease();
        self.lease_until = lease_over.min(self.record_began + self.settings.record_lifetime);
        Some(ClaimOutcome::Confirmed(sequence))
    }

    /// To be called as time passes: sends again what is not confirmed, and renews the lease of an owner that works.
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
        if now - self.round_began <= ROUND_TRIP_LIMIT {
            self.contact_all(out);
        }
        let silent = self.replicas.iter().filter(|replica| !self.accepted_by.contains(replica));
        out.extend(silent.filter_map(|to| self.accept_message(now, *to)));
    }
}
