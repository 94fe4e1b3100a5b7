//! Anti-entropy: repeatedly reads the writes that the other replicas hold, page by page. A starting gateway has
//! no vote until it has caught up.

use super::{CatchUp, QueueEffect, QueueReplica, FETCH_LIMIT, PAGE_LIMIT, RESEND_AFTER};
use crate::cluster::write_queue::message::{LogPage, QueueMessage};
use crate::cluster::write_queue::write::Dot;
use crate::decision::Micros;
use std::collections::BTreeSet;

/// Interval at which a catch-up with each other replica starts.
const CATCH_UP_INTERVAL: Micros = Micros(1_000_000);
/// Time after which a branch whose gateways all appear to be new starts empty, as no replica holds any writes.
const EMPTY_BRANCH_TIMEOUT: Micros = Micros(5_000_000);

impl QueueReplica {
    /// Called when a write fetched from another replica has been received, or is too old to be stored.
    pub(super) fn on_fetched(&mut self, from: u16, dot: Dot) {
        if let Some(catch_up) = self.catch_ups.get_mut(&from) {
            catch_up.missing.remove(&dot);
        }
    }

    pub(super) fn send_page(&self, to: u16, round: u64, after: Option<Dot>, out: &mut Vec<QueueEffect>) {
        let (entries, has_more) = self.log.page_after(after, PAGE_LIMIT);
        let page = LogPage { round, entries, has_more, has_vote: self.has_vote };
        out.push(QueueEffect::Send { to, message: QueueMessage::Page(page) });
    }

    /// Handles a page of the writes that another replica holds and fetches those that are newer there.
    pub(super) fn on_page(&mut self, now: Micros, from: u16, page: &LogPage, out: &mut Vec<QueueEffect>) {
        let log = &self.log;
        let Some(catch_up) = self.catch_ups.get_mut(&from) else { return };
        if !catch_up.is_in_progress() || catch_up.round != page.round || page.entries.len() > PAGE_LIMIT {
            return;
        }
        catch_up.peer_has_vote = page.has_vote;
        let newer_at_peer = page.entries.iter().filter(|page_entry| {
            log.get(page_entry.dot).is_none_or(|entry| entry.state.rank() < page_entry.rank)
        });
        catch_up.missing = newer_at_peer.map(|page_entry| page_entry.dot).collect();
        catch_up.is_last_page = !page.has_more;
        catch_up.page_end = page.entries.last().map(|page_entry| page_entry.dot).or(catch_up.after);
        catch_up.requested_at = now;
        let missing: Vec<Dot> = catch_up.missing.iter().copied().collect();
        for dots in missing.chunks(FETCH_LIMIT) {
            out.push(QueueEffect::Send { to: from, message: QueueMessage::Fetch(dots.to_vec()) });
        }
        self.next_page(now, from, out);
    }

    /// Requests the next page once all writes of the current one are held here.
    pub(super) fn next_page(&mut self, now: Micros, seat: u16, out: &mut Vec<QueueEffect>) {
        let Some(catch_up) = self.catch_ups.get_mut(&seat) else { return };
        if !catch_up.is_in_progress() || !catch_up.missing.is_empty() {
            return;
        }
        // Without progress and before the last page, the requested page has not arrived yet.
        if catch_up.page_end == catch_up.after && !catch_up.is_last_page {
            return;
        }
        catch_up.after = catch_up.page_end;
        if catch_up.is_last_page {
            catch_up.round = 0;
            catch_up.is_last_page = false;
            catch_up.completed += 1;
            self.update_vote(now);
            return;
        }
        catch_up.requested_at = now;
        let after = catch_up.after;
        let round = self.next_token();
        if let Some(catch_up) = self.catch_ups.get_mut(&seat) {
            catch_up.round = round;
        }
        out.push(QueueEffect::Send { to: seat, message: QueueMessage::QueryPage { round, after } });
    }

    /// Updates the number of catch-ups completed with a quorum, this replica included, and gives this replica
    /// its vote once it has caught up with enough others.
    pub(super) fn update_vote(&mut self, now: Micros) {
        self.update_completed_catch_ups();
        if self.has_vote || self.is_vote_suspended {
            return;
        }
        // Every write held by a quorum is held by at least one of this many replicas with a vote, even if an
        // earlier process of this gateway was part of that quorum.
        let seats = self.settings.seats.len();
        let required_voters = (seats - self.settings.quorum() + 1).min(self.catch_ups.len());
        let caught_up = || self.catch_ups.values().filter(|catch_up| catch_up.completed > 0);
        let caught_up_voters = caught_up().filter(|catch_up| catch_up.peer_has_vote).count();
        let no_peer_votes = self.catch_ups.values().all(|catch_up| !catch_up.peer_has_vote);
        let branch_is_new = no_peer_votes
            && caught_up().count() >= self.settings.quorum() - 1
            && now - self.started_at >= EMPTY_BRANCH_TIMEOUT;
        self.has_vote = caught_up_voters >= required_voters || branch_is_new;
    }

    fn update_completed_catch_ups(&mut self) {
        let Some(last_of_quorum) = (self.settings.quorum() - 1).checked_sub(1) else { return };
        let mut completed: Vec<u64> = self.catch_ups.values().map(|catch_up| catch_up.completed).collect();
        completed.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(catch_up_count) = completed.get(last_of_quorum) {
            self.completed_catch_ups = *catch_up_count;
        }
    }

    /// Starts a catch-up with each other replica periodically and resends page queries that were not answered.
    pub(super) fn tick_catch_ups(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        let is_due = |catch_up: &CatchUp| match catch_up.is_in_progress() {
            false => now - catch_up.requested_at >= CATCH_UP_INTERVAL || catch_up.requested_at == Micros(0),
            true => now - catch_up.requested_at >= RESEND_AFTER + RESEND_AFTER,
        };
        for (seat, catch_up) in self.catch_ups.iter_mut().filter(|(_, catch_up)| is_due(catch_up)) {
            if !catch_up.is_in_progress() {
                catch_up.after = None;
            }
            self.last_token += 1;
            catch_up.round = self.last_token;
            catch_up.requested_at = now;
            catch_up.is_last_page = false;
            catch_up.page_end = catch_up.after;
            catch_up.missing.clear();
            let message = QueueMessage::QueryPage { round: catch_up.round, after: catch_up.after };
            out.push(QueueEffect::Send { to: *seat, message });
        }
    }

    /// Restarts all catch-ups with the next tick, as those in progress may have missed the latest announcements.
    pub(super) fn restart_catch_ups(&mut self) {
        for catch_up in self.catch_ups.values_mut() {
            catch_up.round = 0;
            catch_up.requested_at = Micros(0);
        }
    }

    /// Returns the dependencies of pending writes that are not held here.
    pub(super) fn missing_dependencies(&self) -> BTreeSet<Dot> {
        let dependencies = self.log.pending().flat_map(|entry| &entry.write.dependencies);
        dependencies.filter(|dot| self.log.get(**dot).is_none()).copied().collect()
    }
}
