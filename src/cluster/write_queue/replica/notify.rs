//! Announces state changes of writes until a quorum holds them and, at the lease holder, forwards the next writes.

use super::{AfterAnnouncement, Announcement, QueueEffect, QueueReplica};
use crate::cluster::write_queue::message::QueueMessage;
use crate::cluster::write_queue::replay::{ForwardOutcome, ReplayStep};
use crate::cluster::write_queue::write::{Dot, WriteOutcome, WriteState};
use crate::cluster::write_queue::write_log::LogEntry;
use crate::decision::Micros;
use std::collections::BTreeSet;

/// Number of catch-ups with a quorum after which a dependency that is still missing counts as never accepted.
const CATCH_UPS_UNTIL_NEVER_ACCEPTED: u64 = 2;

impl QueueReplica {
    /// Announces a new state of a write until a quorum holds it.
    pub(super) fn announce(&mut self, now: Micros, dot: Dot, state: WriteState, out: &mut Vec<QueueEffect>) {
        let Some(entry) = self.log.get(dot).cloned() else { return };
        self.log.merge(now, &entry.write, state, entry.accepted_at, entry.first_sent_at);
        self.start_announcement(now, dot, state, AfterAnnouncement::Nothing, out);
    }

    /// Announces that a write is about to be forwarded, and forwards it once a quorum holds that. This gateway's own log
    /// holds it only then: if the lease ends before, the write is as it was wherever the announcement did not arrive.
    fn announce_forward(&mut self, now: Micros, dot: Dot, attempt: u16, out: &mut Vec<QueueEffect>) {
        let Some(entry) = self.log.get(dot) else { return };
        let may_have_been_executed = matches!(entry.state, WriteState::Sent(_));
        let follow_up = AfterAnnouncement::Forward { may_have_been_executed };
        self.start_announcement(now, dot, WriteState::Sent(attempt), follow_up, out);
    }

    fn start_announcement(
        &mut self,
        now: Micros,
        dot: Dot,
        state: WriteState,
        follow_up: AfterAnnouncement,
        out: &mut Vec<QueueEffect>,
    ) {
        let held_by = BTreeSet::from([self.own_seat]);
        let announcement = Announcement { state, held_by, started_at: now, sent_at: now, follow_up };
        self.announcements.insert(dot, announcement);
        self.send_announcement(now, dot, out);
        self.conclude_announcement(now, dot, out);
    }

    fn send_announcement(&self, now: Micros, dot: Dot, out: &mut Vec<QueueEffect>) {
        let Some(announcement) = self.announcements.get(&dot) else { return };
        let Some(mut replicated) = self.replicated_write(now, dot) else { return };
        replicated.state = replicated.state.merged(announcement.state);
        if matches!(announcement.state, WriteState::Sent(_)) {
            let since_start = now - announcement.started_at;
            replicated.since_first_send = replicated.since_first_send.max(Some(since_start));
        }
        for to in self.peers().into_iter().filter(|to| !announcement.held_by.contains(to)) {
            out.push(QueueEffect::Send { to, message: QueueMessage::Replicate(replicated.clone()) });
        }
    }

    pub(super) fn on_announcement_held(
        &mut self,
        now: Micros,
        by: u16,
        dot: Dot,
        state: WriteState,
        out: &mut Vec<QueueEffect>,
    ) {
        let Some(announcement) = self.announcements.get_mut(&dot) else { return };
        if state.rank() > announcement.state.rank() {
            // Another gateway knows a later state, which decides what becomes of the write.
            self.announcements.remove(&dot);
            self.replay.cancel_in_flight(dot);
            out.push(QueueEffect::Send { to: by, message: QueueMessage::Fetch(vec![dot]) });
            return;
        }
        if state == announcement.state {
            announcement.held_by.insert(by);
            self.conclude_announcement(now, dot, out);
        }
    }

    /// Ends an announcement that a quorum holds and takes its follow-up action.
    fn conclude_announcement(&mut self, now: Micros, dot: Dot, out: &mut Vec<QueueEffect>) {
        let quorum = self.settings.quorum();
        let Some(announcement) = self.announcements.get(&dot) else { return };
        if announcement.held_by.len() < quorum {
            return;
        }
        let Some(Announcement { state, started_at, follow_up, .. }) = self.announcements.remove(&dot) else {
            return;
        };
        let (WriteState::Sent(attempt), AfterAnnouncement::Forward { may_have_been_executed }) =
            (state, follow_up)
        else {
            return;
        };
        let Some(LogEntry { write, accepted_at, .. }) = self.log.get(dot).cloned() else { return };
        self.log.merge(now, &write, state, accepted_at, Some(started_at));
        let Some(entry) = self.log.get(dot) else { return };
        self.counts.forwarded += 1;
        let first_sent_at = entry.first_sent_at.filter(|_| may_have_been_executed);
        out.push(QueueEffect::Forward { write: entry.write.clone(), attempt, first_sent_at });
    }

    pub(super) fn tick_announcements(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let due =
            self.announcements.iter().filter(|(_, announcement)| Self::is_due(now, announcement.sent_at));
        let due: Vec<Dot> = due.map(|(dot, _)| *dot).collect();
        for dot in due {
            self.send_announcement(now, dot, out);
            if let Some(announcement) = self.announcements.get_mut(&dot) {
                announcement.sent_at = now;
            }
        }
    }

    /// Cancels the announcements of writes that were to be forwarded once a quorum held them.
    pub(super) fn cancel_forwards(&mut self) {
        let is_forward = |announcement: &Announcement| announcement.follow_up != AfterAnnouncement::Nothing;
        for (dot, _) in self.announcements.extract_if(.., |_, announcement| is_forward(announcement)) {
            self.replay.cancel_in_flight(dot);
        }
    }

    /// Called when a write was not forwarded because the lease of the branch's record may have ended. Other
    /// replicas may still assume that the write was forwarded.
    pub fn on_forward_dropped(&mut self, dot: Dot) {
        self.replay.cancel_in_flight(dot);
    }

    /// Called when forwarding a write has ended.
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

    /// Forwards the writes that are ready. Waits until a catch-up with a quorum that started after this gateway
    /// became lease holder has completed.
    pub(super) fn forward_next(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let is_single = self.settings.is_single();
        let since = match self.leader_since_catch_up {
            Some(since) => since,
            None => {
                // Catch-ups started earlier may have missed the last announcements of the previous owner.
                self.leader_since_catch_up = Some(self.completed_catch_ups);
                self.restart_catch_ups();
                self.tick_catch_ups(now, out);
                self.completed_catch_ups
            }
        };
        if !is_single && self.completed_catch_ups < since + 1 {
            return;
        }
        self.update_missing_dependencies();
        let (completed_catch_ups, missing_since) = (self.completed_catch_ups, &self.missing_since_catch_up);
        let was_never_accepted = |dot: Dot| {
            is_single
                || missing_since
                    .get(&dot)
                    .is_some_and(|since| completed_catch_ups >= since + CATCH_UPS_UNTIL_NEVER_ACCEPTED)
        };
        let steps = self.replay.next_steps(now, &self.log, &self.settings, was_never_accepted);
        for step in steps {
            match step {
                ReplayStep::Forward { dot, attempt } => self.announce_forward(now, dot, attempt, out),
                ReplayStep::End { dot, outcome } => {
                    self.count_not_completed(dot, outcome, out);
                    self.announce(now, dot, WriteState::Ended(outcome), out);
                }
            }
        }
    }

    fn update_missing_dependencies(&mut self) {
        let missing = self.missing_dependencies();
        self.missing_since_catch_up.retain(|dot, _| missing.contains(dot));
        for dot in missing {
            self.missing_since_catch_up.entry(dot).or_insert(self.completed_catch_ups);
        }
    }
}
