//! What the others hold: asked for page by page, again and again (anti-entropy). A gateway that starts has no vote before
//! it holds it all.

use super::{CatchUp, QueueEffect, QueueReplica, FETCH_LIMIT, PAGE_LIMIT, RESEND_AFTER};
use crate::cluster::write_queue::message::{LogPage, QueueMessage};
use crate::cluster::write_queue::write::Dot;
use crate::decision::Micros;
use std::collections::BTreeSet;

/// Between two walks through all that one other holds.
const WALK_INTERVAL: Micros = Micros(1_000_000);
/// A branch of which all gateways are new, as far as they see, starts anew after this: nobody holds anything.
const EMPTY_BRANCH_TIMEOUT: Micros = Micros(5_000_000);

impl QueueReplica {
    /// What another was asked for is here, as far as it is to be had.
    pub(super) fn on_fetched(&mut self, from: u16, dot: Dot) {
        if let Some(walk) = self.catch_ups.get_mut(&from) {
            walk.missing.remove(&dot);
        }
    }

    pub(super) fn send_page(&self, to: u16, round: u64, after: Option<Dot>, out: &mut Vec<QueueEffect>) {
        let (entries, has_more) = self.log.page_after(after, PAGE_LIMIT);
        let page = LogPage { round, entries, has_more, has_vote: self.has_vote };
        out.push(QueueEffect::Send { to, message: QueueMessage::Page(page) });
    }

    /// A page of what another holds.
    pub(super) fn on_page(&mut self, now: Micros, from: u16, page: &LogPage, out: &mut Vec<QueueEffect>) {
        let log = &self.log;
        let Some(walk) = self.catch_ups.get_mut(&from) else { return };
        if !walk.is_walking() || walk.round != page.round || page.entries.len() > PAGE_LIMIT {
            return;
        }
        walk.peer_has_vote = page.has_vote;
        let knows_more = page.entries.iter().filter(|page_entry| {
            log.get(page_entry.dot).is_none_or(|entry| entry.state.rank() < page_entry.rank)
        });
        walk.missing = knows_more.map(|page_entry| page_entry.dot).collect();
        walk.is_last_page = !page.has_more;
        walk.until = page.entries.last().map(|page_entry| page_entry.dot).or(walk.after);
        walk.asked_at = now;
        let missing: Vec<Dot> = walk.missing.iter().copied().collect();
        for dots in missing.chunks(FETCH_LIMIT) {
            out.push(QueueEffect::Send { to: from, message: QueueMessage::Fetch(dots.to_vec()) });
        }
        self.next_page(now, from, out);
    }

    /// Goes on to the next page once all of this one is here.
    pub(super) fn next_page(&mut self, now: Micros, seat: u16, out: &mut Vec<QueueEffect>) {
        let Some(walk) = self.catch_ups.get_mut(&seat) else { return };
        if !walk.is_walking() || !walk.missing.is_empty() {
            return;
        }
        // A page has come: there is somewhere to go on from, or nothing at all.
        if walk.until == walk.after && !walk.is_last_page {
            return;
        }
        walk.after = walk.until;
        if walk.is_last_page {
            walk.round = 0;
            walk.is_last_page = false;
            walk.completed += 1;
            self.update_vote(now);
            return;
        }
        walk.asked_at = now;
        let after = walk.after;
        let round = self.next_token();
        if let Some(walk) = self.catch_ups.get_mut(&seat) {
            walk.round = round;
        }
        out.push(QueueEffect::Send { to: seat, message: QueueMessage::QueryPage { round, after } });
    }

    /// Counts walks that a quorum, this one among it, has completed, and votes once that is enough.
    pub(super) fn update_vote(&mut self, now: Micros) {
        self.update_completed_walks();
        if self.has_vote || self.is_barred {
            return;
        }
        // What a quorum holds is held by one of so many that have a vote, whoever this one was before.
        let seats = self.settings.seats.len();
        let enough = (seats - self.settings.quorum() + 1).min(self.catch_ups.len());
        let walked = || self.catch_ups.values().filter(|walk| walk.completed > 0);
        let walked_voters = walked().filter(|walk| walk.peer_has_vote).count();
        let nobody_votes = self.catch_ups.values().all(|walk| !walk.peer_has_vote);
        let branch_is_new = nobody_votes
            && walked().count() >= self.settings.quorum() - 1
            && now - self.started_at >= EMPTY_BRANCH_TIMEOUT;
        self.has_vote = walked_voters >= enough || branch_is_new;
    }

    fn update_completed_walks(&mut self) {
        let Some(last_of_quorum) = (self.settings.quorum() - 1).checked_sub(1) else { return };
        let mut completed: Vec<u64> = self.catch_ups.values().map(|walk| walk.completed).collect();
        completed.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(walks) = completed.get(last_of_quorum) {
            self.completed_walks = *walks;
        }
    }

    /// Begins a walk at each other one again and again, and asks again where an answer was lost.
    pub(super) fn tick_catch_ups(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let is_due = |walk: &CatchUp| match walk.is_walking() {
            false => now - walk.asked_at >= WALK_INTERVAL || walk.asked_at == Micros(0),
            true => now - walk.asked_at >= RESEND_AFTER + RESEND_AFTER,
        };
        for (seat, walk) in self.catch_ups.iter_mut().filter(|(_, walk)| is_due(walk)) {
            if !walk.is_walking() {
                walk.after = None;
            }
            self.last_token += 1;
            walk.round = self.last_token;
            walk.asked_at = now;
            walk.is_last_page = false;
            walk.until = walk.after;
            walk.missing.clear();
            let message = QueueMessage::QueryPage { round: walk.round, after: walk.after };
            out.push(QueueEffect::Send { to: *seat, message });
        }
    }

    /// Begins all walks anew with the next tick: those that had begun may have missed the latest announcements.
    pub(super) fn restart_walks(&mut self) {
        for walk in self.catch_ups.values_mut() {
            walk.round = 0;
            walk.asked_at = Micros(0);
        }
    }

    /// Dependencies of pending writes that are not held here.
    pub(super) fn missing_dependencies(&self) -> BTreeSet<Dot> {
        let dependencies = self.log.pending().flat_map(|entry| &entry.write.dependencies);
        dependencies.filter(|dot| self.log.get(**dot).is_none()).copied().collect()
    }
}
