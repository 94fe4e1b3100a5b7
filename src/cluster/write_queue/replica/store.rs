//! Stores the writes that other gateways send, and acknowledges them.

use super::{QueueEffect, QueueReplica, RESEND_AFTER};
use crate::cluster::write_queue::message::{QueueMessage, ReplicatedWrite};
use crate::cluster::write_queue::write::{Dot, WriteState};
use crate::cluster::write_queue::write_log::ENDED_RETENTION;
use crate::decision::Micros;

/// Maximum transit time of a datagram, by which a received time span may be too short.
const MAX_TRANSIT: Micros = Micros(100_000);
/// Limit on pending writes received from other gateways, as a multiple of `max_pending`.
const PENDING_HEADROOM: usize = 2;

impl QueueReplica {
    /// Handles a write that another gateway sent with its state.
    pub(super) fn on_replicate(
        &mut self,
        now: Micros,
        from: u16,
        replicated: &ReplicatedWrite,
        out: &mut Vec<QueueEffect>,
    ) {
        let ReplicatedWrite { write, state, age, since_first_send } = replicated;
        let dot = write.dot;
        let is_known = self.log.get(dot).is_some();
        // A write past its retention must not be stored again, or replicas would pass it on to each other forever.
        let is_stale = !is_known && state.is_ended() && *age >= ENDED_RETENTION + self.settings.max_age;
        if is_stale {
            self.on_fetched(from, dot);
            return self.next_page(now, from, out);
        }
        let is_full = self.log.pending_count() >= self.settings.max_pending * PENDING_HEADROOM;
        if !write.fits() || !is_known && !state.is_ended() && is_full {
            out.push(QueueEffect::Send { to: from, message: QueueMessage::Rejected { dot } });
            return;
        }
        // The estimate is early rather than late, so that the deduplication window never appears to last longer
        // than it does.
        let first_sent_at = since_first_send.map(|span| now - span - MAX_TRANSIT);
        self.log.merge(now, write, *state, now - *age, first_sent_at);
        self.on_fetched(from, dot);
        self.missing_since_catch_up.remove(&dot);
        self.acknowledge(from, dot, *state, &write.dependencies, out);
        if !is_known {
            self.resume_accepts(now, out);
        }
        self.next_page(now, from, out);
    }

    /// Acknowledges a write that is held here, if this replica has a vote. A new write is acknowledged only
    /// once all of its dependencies are held here; missing ones are fetched.
    fn acknowledge(
        &self,
        to: u16,
        dot: Dot,
        received: WriteState,
        dependencies: &[Dot],
        out: &mut Vec<QueueEffect>,
    ) {
        let is_new = received == WriteState::Pending(0);
        let missing = if is_new { self.log.missing(dependencies) } else { Vec::new() };
        if !missing.is_empty() {
            out.push(QueueEffect::Send { to, message: QueueMessage::Fetch(missing) });
            return;
        }
        let held = self.log.get(dot).filter(|_| self.has_vote);
        if let Some(state) = held.map(|entry| entry.state) {
            out.push(QueueEffect::Send { to, message: QueueMessage::Acknowledge { dot, state } });
        }
    }

    /// Returns the message that replicates a write, or `None` if the write is not held.
    pub(super) fn replicate_message(&self, now: Micros, dot: Dot) -> Option<QueueMessage> {
        self.replicated_write(now, dot).map(QueueMessage::Replicate)
    }

    /// Returns a write as it is sent to other gateways, or `None` if it is not held.
    pub(super) fn replicated_write(&self, now: Micros, dot: Dot) -> Option<ReplicatedWrite> {
        let entry = self.log.get(dot)?;
        Some(ReplicatedWrite {
            write: Box::new(entry.write.clone()),
            state: entry.state,
            age: now - entry.accepted_at,
            since_first_send: entry.first_sent_at.map(|at| now - at),
        })
    }

    pub(super) fn is_due(now: Micros, sent_at: Micros) -> bool {
        now - sent_at >= RESEND_AFTER
    }
}
