//! Acceptance of submitted writes by a quorum of the branch.
//!
//! There are two rounds. In the first, a quorum sends the newest writes of the customer and on the object,
//! which become the dependencies of the new write. In the second, a quorum stores the write together with all
//! of its dependencies.

use super::{Heads, PendingAccept, QueueEffect, QueueReplica};
use crate::cluster::write_queue::message::{QueueMessage, ReplicatedWrite};
use crate::cluster::write_queue::write::{
    Acceptance, Dot, Write, WriteOutcome, WriteRequest, WriteState, MAX_DEPENDENCIES, MAX_WRITE_BYTES,
};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time within which a quorum has to vote for a write.
const ACCEPT_TIMEOUT: Micros = Micros(400_000);
/// Maximum number of writes that wait for votes at once.
const MAX_PENDING_ACCEPTS: usize = 500;
/// Maximum size that dependencies and a position add to an encoded write, in bytes.
const DEPENDENCY_BYTES: usize = 120;

impl QueueReplica {
    /// Submits a write. The result follows as `QueueEffect::AcceptanceDecided`. Returns the dot of the write, or `None`
    /// if it cannot be accepted.
    pub fn accept(&mut self, now: Micros, request: WriteRequest, out: &mut Vec<QueueEffect>) -> Option<Dot> {
        // A retry with the same idempotency key refers to the existing write and is accepted once a quorum
        // holds that write.
        let existing = self.log.find_by_key(request.customer, request.key).filter(|_| self.has_vote);
        if let Some(write) = existing.map(|entry| entry.write.clone()) {
            return Some(self.accept_again(now, write, out));
        }
        let has_capacity = self.has_vote
            && self.pending_accepts.len() < MAX_PENDING_ACCEPTS
            && self.log.has_capacity(request.customer, &self.settings);
        let number = self.last_number.checked_add(1)?;
        let dot = Dot { seat: self.own_seat, process: self.process, number };
        let WriteRequest { customer, object, class, key, payload } = request;
        let (position, dependencies) = (0, Vec::new());
        let write = Write { dot, customer, object, class, key, position, dependencies, payload };
        let fits = postcard::to_allocvec(&write)
            .is_ok_and(|bytes| bytes.len() + DEPENDENCY_BYTES <= MAX_WRITE_BYTES);
        if !has_capacity || !fits {
            self.counts.rejected += 1;
            return None;
        }
        self.last_number = number;
        let token = self.next_token();
        let own =
            Heads { newest: self.log.heads(now, customer, object), position: self.log.highest_position() };
        let heads = BTreeMap::from([(self.own_seat, own)]);
        for to in self.peers() {
            let message = QueueMessage::QueryHeads { token, customer, object };
            out.push(QueueEffect::Send { to, message });
        }
        let pending = PendingAccept { write, started_at: now, sent_at: now, heads, held_by: None };
        self.pending_accepts.insert(token, pending);
        self.advance(now, token, out);
        Some(dot)
    }

    /// Collects votes for a write that is already in the log.
    fn accept_again(&mut self, now: Micros, write: Write, out: &mut Vec<QueueEffect>) -> Dot {
        let dot = write.dot;
        let token = self.next_token();
        let held_by = Some(BTreeSet::from([self.own_seat]));
        let (started_at, sent_at) = (now, Micros(0));
        let pending = PendingAccept { write, started_at, sent_at, heads: BTreeMap::new(), held_by };
        self.pending_accepts.insert(token, pending);
        self.advance(now, token, out);
        dot
    }

    pub(super) fn on_heads(
        &mut self,
        now: Micros,
        from: u16,
        token: u64,
        heads: Heads,
        has_vote: bool,
        out: &mut Vec<QueueEffect>,
    ) {
        if let Some(pending) = self.pending_accepts.get_mut(&token).filter(|_| has_vote) {
            pending.heads.insert(from, heads);
            self.advance(now, token, out);
        }
    }

    /// Takes the next step for a pending write if it has the votes for it.
    fn advance(&mut self, now: Micros, token: u64, out: &mut Vec<QueueEffect>) {
        let quorum = self.settings.quorum();
        let Some(pending) = self.pending_accepts.get(&token) else { return };
        let heads_complete = pending.held_by.is_none() && pending.heads.len() >= quorum;
        if heads_complete && !self.replicate_first(now, token, out) {
            return;
        }
        let Some(pending) = self.pending_accepts.get(&token) else { return };
        if pending.held_by.as_ref().is_some_and(|held_by| held_by.len() >= quorum) {
            let dot = pending.write.dot;
            self.pending_accepts.remove(&token);
            self.counts.accepted += 1;
            out.push(QueueEffect::AcceptanceDecided { dot, acceptance: Acceptance::Accepted });
        }
    }

    /// Assigns a write its dependencies and position and sends it to the other gateways. Returns whether the
    /// write was sent.
    fn replicate_first(&mut self, now: Micros, token: u64, out: &mut Vec<QueueEffect>) -> bool {
        let Some(pending) = self.pending_accepts.get_mut(&token) else { return false };
        // Any write accepted earlier is known to at least one replica of this quorum.
        let all_heads = pending.heads.values().flat_map(|heads| heads.newest.iter().copied());
        let dependencies: BTreeSet<Dot> = all_heads.collect();
        if dependencies.len() > MAX_DEPENDENCIES {
            // Too many concurrent writes; the client may retry.
            self.reject(token, out);
            return false;
        }
        // A replica must hold a write with all of its dependencies; otherwise a dependency that is missing
        // later could be taken for a write that was never accepted.
        let mut has_missing = false;
        for (seat, heads) in &pending.heads {
            let missing = self.log.missing(&heads.newest);
            has_missing |= !missing.is_empty();
            if !missing.is_empty() && *seat != self.own_seat {
                out.push(QueueEffect::Send { to: *seat, message: QueueMessage::Fetch(missing) });
            }
        }
        if has_missing {
            return false;
        }
        let highest = pending.heads.values().map(|heads| heads.position).max().unwrap_or(0);
        pending.write.position = highest.saturating_add(1);
        pending.write.dependencies = dependencies.into_iter().collect();
        pending.held_by = Some(BTreeSet::from([self.own_seat]));
        let write = pending.write.clone();
        let state = WriteState::Pending(0);
        self.log.merge(now, &write, state, now, None);
        let (age, since_first_send) = (Micros(0), None);
        let replicated = ReplicatedWrite { write: Box::new(write), state, age, since_first_send };
        for to in self.peers() {
            let message = QueueMessage::Replicate(replicated.clone());
            out.push(QueueEffect::Send { to, message });
        }
        true
    }

    /// Rejects a pending write.
    fn reject(&mut self, token: u64, out: &mut Vec<QueueEffect>) {
        self.decide(token, Acceptance::Rejected, out);
    }

    /// Ends the wait for votes of a write that is not accepted, and returns its dot.
    fn decide(&mut self, token: u64, acceptance: Acceptance, out: &mut Vec<QueueEffect>) -> Option<Dot> {
        let dot = self.pending_accepts.remove(&token)?.write.dot;
        self.counts.rejected += 1;
        out.push(QueueEffect::AcceptanceDecided { dot, acceptance });
        Some(dot)
    }

    /// Ends the wait of a write that has not got its votes in time.
    fn time_out(&mut self, now: Micros, token: u64, out: &mut Vec<QueueEffect>) {
        let Some(pending) = self.pending_accepts.get(&token) else { return };
        // Only a write with a key is found again: its repeat may have been accepted, here or at another gateway.
        if pending.held_by.is_some() && pending.write.key > 0 {
            self.decide(token, Acceptance::Unconfirmed, out);
        } else if let Some(dot) = self.decide(token, Acceptance::Rejected, out) {
            // Some replicas may hold the write. It must not be forwarded, as its client is told that it was
            // not accepted and may retry.
            self.announce(now, dot, WriteState::Ended(WriteOutcome::Expired), out);
        }
    }

    /// Called when another gateway that has a vote holds a write in this state.
    pub(super) fn on_acknowledge(
        &mut self,
        now: Micros,
        from: u16,
        dot: Dot,
        state: WriteState,
        out: &mut Vec<QueueEffect>,
    ) {
        let matching = self.pending_accepts.iter_mut().find(|(_, pending)| pending.write.dot == dot);
        if let Some((token, held_by)) =
            matching.and_then(|(token, pending)| Some((*token, pending.held_by.as_mut()?)))
        {
            if state == WriteState::Ended(WriteOutcome::Expired) {
                // The write expired or was withdrawn in the meantime.
                self.reject(token, out);
            } else {
                held_by.insert(from);
                self.advance(now, token, out);
            }
        }
        self.on_announcement_held(now, from, dot, state, out);
    }

    /// Resumes pending writes that may have waited for a dependency that has now arrived.
    pub(super) fn resume_accepts(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let awaiting_heads = self.pending_accepts.iter().filter(|(_, pending)| pending.held_by.is_none());
        let tokens: Vec<u64> = awaiting_heads.map(|(token, _)| *token).collect();
        for token in tokens {
            self.advance(now, token, out);
        }
    }

    /// Ends the wait of writes that have waited longer than `ACCEPT_TIMEOUT` and resends unanswered messages.
    pub(super) fn tick_accepts(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let is_late = |pending: &PendingAccept| now - pending.started_at >= ACCEPT_TIMEOUT;
        let late = self.pending_accepts.iter().filter(|(_, pending)| is_late(pending));
        let late: Vec<u64> = late.map(|(token, _)| *token).collect();
        for token in late {
            self.time_out(now, token, out);
        }
        let awaiting_heads = self.pending_accepts.iter();
        let awaiting_heads = awaiting_heads
            .filter(|(_, pending)| pending.held_by.is_none() && Self::is_due(now, pending.sent_at));
        let awaiting_heads: Vec<u64> = awaiting_heads.map(|(token, _)| *token).collect();
        for token in awaiting_heads {
            self.advance(now, token, out);
        }
        self.resend_accepts(now, out);
    }

    fn resend_accepts(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let peers = self.peers();
        let due = self.pending_accepts.iter().filter(|(_, pending)| Self::is_due(now, pending.sent_at));
        let due: Vec<u64> = due.map(|(token, _)| *token).collect();
        for token in due {
            let Some(pending) = self.pending_accepts.get_mut(&token) else { continue };
            pending.sent_at = now;
            let Some(pending) = self.pending_accepts.get(&token) else { continue };
            for to in &peers {
                let message = self.accept_message(now, token, pending, *to);
                out.extend(message.map(|message| QueueEffect::Send { to: *to, message }));
            }
        }
    }

    /// Returns the message for a pending write that a peer has not answered, or `None` if the peer has
    /// answered it.
    fn accept_message(
        &self,
        now: Micros,
        token: u64,
        pending: &PendingAccept,
        to: u16,
    ) -> Option<QueueMessage> {
        let Write { dot, customer, object, .. } = pending.write;
        match &pending.held_by {
            None if !pending.heads.contains_key(&to) => {
                Some(QueueMessage::QueryHeads { token, customer, object })
            }
            Some(held_by) if !held_by.contains(&to) => self.replicate_message(now, dot),
            _ => None,
        }
    }
}
