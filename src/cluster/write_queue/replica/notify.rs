//! What became of writes, announced until a quorum holds it; and, for the branch's owner, what is forwarded next.

use super::{AfterAnnouncement, Announcement, QueueEffect, QueueReplica};
use crate::cluster::write_queue::replay::{ForwardOutcome, ReplayStep};
use crate::cluster::write_queue::write::{Dot, WriteOutcome, WriteState};
use crate::decision::Micros;
use std::collections::BTreeSet;

/// A dependency that nobody of a quorum had in so many walks was never accepted.
const WALKS_UNTIL_VOID: u64 = 2;

impl QueueReplica {
    /// Announces what became of a write, until a quorum holds it.
    pub(super) fn announce(&mut self, now: Micros, dot: Dot, state: WriteState, out: &mut Vec<QueueEffect>) {
        self.announce_then(now, dot, state, AfterAnnouncement::Nothing, out);
    }

    fn announce_then(
        &mut self,
        now: Micros,
        dot: Dot,
        state: WriteState,
        then: AfterAnnouncement,
        out: &mut Vec<QueueEffect>,
    ) {
        let Some(entry) = self.log.get(dot).cloned() else { return };
        let first_sent_at = match state {
            WriteState::Sent(_) => Some(now),
            WriteState::Pending(_) | WriteState::Ended(_) => entry.first_sent_at,
        };
        self.log.merge(now, &entry.write, state, entry.accepted_at, first_sent_at);
        let held_by = BTreeSet::from([self.own_seat]);
        self.announcements.insert(dot, Announcement { state, held_by, sent_at: now, then });
        self.send_announcement(now, dot, out);
        self.conclude_announcement(dot, out);
    }

    fn send_announcement(&self, now: Micros, dot: Dot, out: &mut Vec<QueueEffect>) {
        let Some(message) = self.replicate_message(now, dot) else { return };
        let held_by = self.announcements.get(&dot).map(|announcement| &announcement.held_by);
        for to in self.peers() {
            if held_by.is_none_or(|held_by| !held_by.contains(&to)) {
                out.push(QueueEffect::Send { to, message: message.clone() });
            }
        }
    }

    pub(super) fn on_announcement_held(
        &mut self,
        by: u16,
        dot: Dot,
        state: WriteState,
        out: &mut Vec<QueueEffect>,
    ) {
        let Some(announcement) = self.announcements.get_mut(&dot) else { return };
        if state.rank() > announcement.state.rank() {
            // Another knows better.
            self.announcements.remove(&dot);
            return;
        }
        if state == announcement.state {
            announcement.held_by.insert(by);
            self.conclude_announcement(dot, out);
        }
    }

    /// Looks whether an announcement is held by a quorum, and does what follows.
    fn conclude_announcement(&mut self, dot: Dot, out: &mut Vec<QueueEffect>) {
        let quorum = self.settings.quorum();
        let Some(announcement) = self.announcements.get(&dot) else { return };
        if announcement.held_by.len() < quorum {
            return;
        }
        let (state, then) = (announcement.state, announcement.then);
        self.announcements.remove(&dot);
        let (WriteState::Sent(attempt), AfterAnnouncement::Forward { may_have_run }) = (state, then) else {
            return;
        };
        let Some(entry) = self.log.get(dot) else { return };
        self.counts.forwarded += 1;
        let first_sent_at = entry.first_sent_at.filter(|_| may_have_run);
        out.push(QueueEffect::Forward { write: entry.write.clone(), attempt, first_sent_at });
    }

    pub(super) fn tick_announcements(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let due = self.announcements.iter().filter(|(_, one)| Self::is_due(now, one.sent_at));
        let due: Vec<Dot> = due.map(|(dot, _)| *dot).collect();
        for dot in due {
            self.send_announcement(now, dot, out);
            if let Some(announcement) = self.announcements.get_mut(&dot) {
                announcement.sent_at = now;
            }
        }
    }

    /// Nothing that was not forwarded by now is forwarded.
    pub(super) fn cancel_forwards(&mut self) {
        self.announcements.retain(|_, one| one.then == AfterAnnouncement::Nothing);
    }

    /// A write that was to be forwarded was not, as the record was no longer surely this one's. Others may think it was.
    pub fn on_forward_dropped(&mut self, dot: Dot) {
        self.replay.forget(dot);
    }

    /// A forwarded write ended.
    pub fn on_forwarded(
        &mut self,
        now: Micros,
        dot: Dot,
        attempt: u16,
        outcome: ForwardOutcome,
        out: &mut Vec<QueueEffect>,
    ) {
        let state = self.replay.on_forwarded(now, dot, attempt, outcome, &self.settings);
        match state {
            WriteState::Ended(outcome) if outcome.is_success() => self.counts.completed += 1,
            WriteState::Ended(outcome) => self.count_not_completed(dot, outcome, out),
            WriteState::Pending(_) | WriteState::Sent(_) => {}
        }
        self.announce(now, dot, state, out);
    }

    fn count_not_completed(&mut self, dot: Dot, outcome: WriteOutcome, out: &mut Vec<QueueEffect>) {
        self.counts.not_completed += 1;
        out.push(QueueEffect::NotCompleted { dot, outcome });
    }

    /// Forwards what may go: not before a quorum sent all that it holds since this one took the lead.
    pub(super) fn forward_next(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let is_single = self.settings.is_single();
        let since = match self.leads_since_walk {
            Some(since) => since,
            None => {
                // Walks that had begun before may have missed what an owner before this one announced last.
                self.leads_since_walk = Some(self.completed_walks);
                self.restart_walks();
                self.tick_catch_ups(now, out);
                self.completed_walks
            }
        };
        if !is_single && self.completed_walks < since + 1 {
            return;
        }
        self.update_missing_dependencies();
        let (walks, missing_since) = (self.completed_walks, &self.missing_since_walk);
        let is_void = |dot: Dot| {
            is_single || missing_since.get(&dot).is_some_and(|since| walks >= since + WALKS_UNTIL_VOID)
        };
        let steps = self.replay.next_steps(now, &self.log, &self.settings, is_void);
        for step in steps {
            match step {
                ReplayStep::Forward { dot, attempt } => {
                    let may_have_run =
                        self.log.get(dot).is_some_and(|entry| matches!(entry.state, WriteState::Sent(_)));
                    let then = AfterAnnouncement::Forward { may_have_run };
                    self.announce_then(now, dot, WriteState::Sent(attempt), then, out);
                }
                ReplayStep::End { dot, outcome } => {
                    self.count_not_completed(dot, outcome, out);
                    self.announce(now, dot, WriteState::Ended(outcome), out);
                }
            }
        }
    }

    fn update_missing_dependencies(&mut self) {
        let missing = self.missing_dependencies();
        self.missing_since_walk.retain(|dot, _| missing.contains(dot));
        for dot in missing {
            self.missing_since_walk.entry(dot).or_insert(self.completed_walks);
        }
    }
}
