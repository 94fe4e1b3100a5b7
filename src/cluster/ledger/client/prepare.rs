//! Acquires a record by rounds of prepare messages until a quorum has promised (Paxos phase 1).

use super::{AddressedMessage, ClaimOutcome, LedgerClient, Phase, Reply};
use crate::cluster::ledger::message::{LedgerMessage, RecordSnapshot};
use crate::cluster::ledger::record::{Record, RecordedAttempt, SentAttempt};
use crate::cluster::ledger::settings::{lease_with_drift, MAX_OWNERS, ROUND_TRIP_LIMIT};
use crate::decision::Micros;

/// Maximum number of prepare rounds of a claim, each with a higher ballot, before the record counts as unavailable.
const MAX_ROUNDS: u32 = 4;

impl LedgerClient {
    /// Contacts the remaining replicas too. Called when those contacted first are slow.
    pub fn contact_all(&mut self, out: &mut Vec<AddressedMessage>) {
        let others = self.replicas.iter().skip(self.contacted);
        out.extend(others.map(|to| self.prepare_message(*to)));
        self.contacted = self.replicas.len();
    }

    /// Called on each tick. A round without a decision within `ROUND_TRIP_LIMIT`, for lack of replies or
    /// because messages were lost, is repeated with a higher ballot at all replicas, as late promises do not
    /// count. The claim gives up after `MAX_ROUNDS`.
    pub fn retry_prepare(&mut self, now: Micros, out: &mut Vec<AddressedMessage>) -> Option<ClaimOutcome> {
        if self.phase != Phase::Preparing || now - self.round_started_at <= ROUND_TRIP_LIMIT {
            return None;
        }
        if !self.has_rounds_left() {
            return Some(self.give_up());
        }
        self.contacted = self.replicas.len();
        self.begin_round_above(self.ballot.number, now, out);
        None
    }

    pub(super) fn begin_round(&mut self, now: Micros, out: &mut Vec<AddressedMessage>) {
        self.round_started_at = now;
        self.phase = Phase::Preparing;
        self.replies.clear();
        out.extend(self.replicas.iter().take(self.contacted).map(|to| self.prepare_message(*to)));
    }

    fn begin_round_above(&mut self, number: u32, now: Micros, out: &mut Vec<AddressedMessage>) {
        self.earlier_rounds += 1;
        self.ballot.number = self.ballot.number.max(number).saturating_add(1);
        self.begin_round(now, out);
    }

    fn has_rounds_left(&self) -> bool {
        self.earlier_rounds + 1 < MAX_ROUNDS
    }

    fn prepare_message(&self, to: u16) -> AddressedMessage {
        AddressedMessage { to, message: LedgerMessage::Prepare { id: self.id, ballot: self.ballot } }
    }

    /// Acts on the replies so far: acquires the record, starts a new round, contacts more replicas or gives up.
    pub(super) fn evaluate_replies(
        &mut self,
        now: Micros,
        out: &mut Vec<AddressedMessage>,
    ) -> Option<ClaimOutcome> {
        let quorum = self.settings.quorum();
        let promises = self.replies.values().filter(|reply| matches!(reply, Reply::Promised { .. })).count();
        if promises >= quorum {
            return Some(self.acquire());
        }
        if let Some(number) = self.highest_preempting_number() {
            if !self.has_rounds_left() {
                return Some(self.give_up());
            }
            // Starts the next round without waiting for more replies: replicas that have not replied may have
            // failed, and the preempting one promises to a higher ballot.
            self.begin_round_above(number, now, out);
            return None;
        }
        let without_reply = self.replicas.len() - self.replies.len();
        if promises + without_reply < quorum {
            return Some(self.give_up());
        }
        let contacted = self.replicas.iter().take(self.contacted);
        let outstanding = contacted.filter(|replica| !self.replies.contains_key(replica)).count();
        if promises + outstanding < quorum {
            self.contact_all(out);
        }
        None
    }

    fn highest_preempting_number(&self) -> Option<u32> {
        let numbers = self.replies.values().filter_map(|reply| match reply {
            Reply::Preempted { promised } => Some(promised.number),
            Reply::Promised { .. } | Reply::Abstained => None,
        });
        numbers.max()
    }

    fn give_up(&mut self) -> ClaimOutcome {
        self.phase = Phase::Finished;
        ClaimOutcome::Unavailable
    }

    /// Called when a quorum has promised: adopts the record that was written with the highest ballot among the
    /// promises.
    fn acquire(&mut self) -> ClaimOutcome {
        let Some(latest) = self.latest_held().cloned() else {
            self.phase = Phase::Prepared;
            self.record_created_at = self.round_started_at;
            let created_at = self.record_created_at;
            return ClaimOutcome::Acquired {
                existed: false,
                released: false,
                created_at,
                attempts: Vec::new(),
            };
        };
        if latest.record.request_digest != self.record.request_digest {
            self.phase = Phase::Finished;
            return ClaimOutcome::KeyReused;
        }
        if latest.record.fence >= MAX_OWNERS {
            return self.give_up();
        }
        self.phase = Phase::Prepared;
        self.record_created_at = self.round_started_at - latest.age;
        let to_recorded = |attempt: &SentAttempt| RecordedAttempt {
            endpoint: attempt.endpoint,
            sent_at: self.record_created_at + Micros(u64::from(attempt.record_age_ms) * 1000),
        };
        let attempts = latest.record.attempts.iter().map(to_recorded).collect();
        let released = !latest.record.owned;
        self.record = Record { lease_ms: self.record.lease_ms, ..latest.record };
        ClaimOutcome::Acquired { existed: true, released, created_at: self.record_created_at, attempts }
    }

    fn latest_held(&self) -> Option<&RecordSnapshot> {
        let held = self.replies.values().filter_map(|reply| match reply {
            Reply::Promised { held, .. } => held.as_ref(),
            Reply::Preempted { .. } | Reply::Abstained => None,
        });
        held.max_by_key(|held| (held.ballot, held.sequence))
    }

    pub(super) fn outcome_of_locked(&self, held: RecordSnapshot) -> ClaimOutcome {
        let RecordSnapshot { record, since_write, .. } = held;
        if record.request_digest != self.record.request_digest {
            return ClaimOutcome::KeyReused;
        }
        let lease = record.lease();
        match record.response {
            Some(response) => ClaimOutcome::Completed(response),
            None => ClaimOutcome::InProgress(lease_with_drift(lease) - since_write),
        }
    }
}
