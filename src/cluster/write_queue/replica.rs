//! Replica of the write queue at one gateway of a branch. It accepts writes with the votes of a quorum, stores
//! the writes of the other gateways, catches up with them and, while it owns the branch's record, forwards
//! writes.

mod accept;
mod catch_up;
mod notify;
mod store;

use super::message::QueueMessage;
use super::replay::Replay;
use super::settings::WriteQueueSettings;
use super::uplink::UplinkMonitor;
use super::write::{Acceptance, Dot, Write, WriteOutcome, WriteState};
use super::write_log::{LogEntry, WriteLog};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unanswered message is resent.
const RESEND_AFTER: Micros = Micros(60_000);
/// Maximum number of writes in one fetch.
const FETCH_LIMIT: usize = 20;
/// Maximum number of writes in a page.
const PAGE_LIMIT: usize = 40;
/// Interval at which the status of this gateway's uplink is reported.
const UPLINK_REPORT_INTERVAL: Micros = Micros(250_000);
/// Interval at which expired writes are removed from the log.
const EXPIRY_INTERVAL: Micros = Micros(1_000_000);

/// An action that a replica asks its caller to perform.
#[derive(Debug)]
pub enum QueueEffect {
    /// Send a message to another gateway of the branch.
    Send {
        /// Seat of the receiver.
        to: u16,
        /// Message to send.
        message: QueueMessage,
    },
    /// It is decided whether a write submitted at this gateway is accepted.
    AcceptanceDecided {
        /// Dot of the write.
        dot: Dot,
        /// Whether the write is accepted.
        acceptance: Acceptance,
    },
    /// Forward a write to a backend.
    Forward {
        /// Write to forward.
        write: Write,
        /// Number of the attempt.
        attempt: u16,
        /// Time of the first attempt, if an earlier owner may have forwarded the write.
        first_sent_at: Option<Micros>,
    },
    /// An accepted write ended without being completed.
    NotCompleted {
        /// Dot of the write.
        dot: Dot,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// The branch became isolated from the backends, or is no longer isolated.
    IsolationChanged {
        /// Whether the branch is isolated now.
        isolated: bool,
        /// Time since the last response of a backend.
        since_response: Micros,
    },
}

/// Status of a write, as reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write is held here, in this state.
    Known(WriteState),
    /// The write is not held here: it was removed after its retention period, lost with all replicas that held
    /// it, or never accepted.
    Lost,
}

/// Numbers of writes by outcome.
#[derive(Debug, Clone, Default)]
pub struct QueueCounts {
    /// Writes accepted at this gateway.
    pub accepted: u64,
    /// Writes rejected at this gateway for lack of votes or capacity, or not confirmed for lack of votes.
    pub rejected: u64,
    /// Writes forwarded by this gateway.
    pub forwarded: u64,
    /// Forwarded writes that were completed.
    pub completed: u64,
    /// Writes that ended without being completed.
    pub not_completed: u64,
}

/// The newest writes of a customer and on an object at one replica, with its highest position.
struct Heads {
    newest: Vec<Dot>,
    position: u64,
}

/// A submitted write that waits for the votes of a quorum.
struct PendingAccept {
    write: Write,
    started_at: Micros,
    /// Time at which the messages for the write were last sent.
    sent_at: Micros,
    /// Heads received so far, by seat, including those of this gateway.
    heads: BTreeMap<u16, Heads>,
    /// Seats that hold the write; `None` until a quorum has sent its heads.
    held_by: Option<BTreeSet<u16>>,
}

/// A new state of a write that is announced to the branch until a quorum holds it.
struct Announcement {
    state: WriteState,
    held_by: BTreeSet<u16>,
    /// Time at which the state was first announced.
    started_at: Micros,
    /// Time at which the announcement was last sent.
    sent_at: Micros,
    /// Action to take once a quorum holds the state.
    follow_up: AfterAnnouncement,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterAnnouncement {
    Nothing,
    /// Forward the write.
    Forward {
        /// Whether an earlier owner may have forwarded the write already.
        may_have_been_executed: bool,
    },
}

/// Progress of reading all writes that another replica holds, page by page.
#[derive(Default)]
struct CatchUp {
    /// Token of the requested page; 0 if no catch-up is in progress.
    round: u64,
    /// Last write before the requested page.
    after: Option<Dot>,
    /// Last write on the requested page, once the page has arrived.
    page_end: Option<Dot>,
    requested_at: Micros,
    /// Number of completed catch-ups, at the end of which every write of the other replica was held here.
    completed: u64,
    peer_has_vote: bool,
    /// Writes on the page that are missing here or in an earlier state, until they have been fetched.
    missing: BTreeSet<Dot>,
    is_last_page: bool,
}

impl CatchUp {
    fn is_in_progress(&self) -> bool {
        self.round > 0
    }
}

/// Replica of the write queue at one gateway of a branch.
pub struct QueueReplica {
    own_seat: u16,
    settings: WriteQueueSettings,
    process: u32,
    last_number: u32,
    last_token: u64,
    log: WriteLog,
    /// Whether the replica votes: it holds everything that it could have acknowledged before its start.
    has_vote: bool,
    /// Whether the replica may not vote whatever it holds, because its storage is not read yet or has failed.
    is_vote_suspended: bool,
    started_at: Micros,
    catch_ups: BTreeMap<u16, CatchUp>,
    /// Number of catch-ups completed with enough replicas to form a quorum with this one.
    completed_catch_ups: u64,
    pending_accepts: BTreeMap<u64, PendingAccept>,
    announcements: BTreeMap<Dot, Announcement>,
    replay: Replay,
    /// Value of `completed_catch_ups` when this gateway became the lease holder.
    leader_since_catch_up: Option<u64>,
    /// Value of `completed_catch_ups` when each missing dependency was first found missing.
    missing_since_catch_up: BTreeMap<Dot, u64>,
    uplink: UplinkMonitor,
    uplink_reported_at: Micros,
    next_expiry: Micros,
    is_isolated: bool,
    /// Numbers of writes by outcome.
    pub counts: QueueCounts,
}

impl QueueReplica {
    /// Creates the replica of the gateway in this seat. `process` is the random number of this process.
    pub fn new(own_seat: u16, settings: WriteQueueSettings, process: u64, now: Micros) -> QueueReplica {
        let other_seats = settings.seats.iter().filter(|seat| **seat != own_seat);
        QueueReplica {
            own_seat,
            has_vote: settings.is_single(),
            catch_ups: other_seats.map(|seat| (*seat, CatchUp::default())).collect(),
            settings,
            process: process as u32,
            last_number: 0,
            last_token: process,
            log: WriteLog::default(),
            is_vote_suspended: false,
            started_at: now,
            completed_catch_ups: 0,
            pending_accepts: BTreeMap::new(),
            announcements: BTreeMap::new(),
            replay: Replay::default(),
            leader_since_catch_up: None,
            missing_since_catch_up: BTreeMap::new(),
            uplink: UplinkMonitor::new(now),
            uplink_reported_at: now,
            next_expiry: now,
            is_isolated: false,
            counts: QueueCounts::default(),
        }
    }

    /// Withholds the replica's vote until `restore` is called, and tracks changes from now on.
    pub fn await_storage(&mut self) {
        self.is_vote_suspended = true;
        self.has_vote = false;
        self.log.track_changes();
    }

    /// Restores the entries that were read from storage. They are `complete` if an earlier process had a vote and all
    /// writes that it acknowledged are among them.
    pub fn restore(&mut self, now: Micros, entries: &[LogEntry], complete: bool) {
        for entry in entries.iter().filter(|entry| entry.write.fits()) {
            self.log.merge(now, &entry.write, entry.state, entry.accepted_at, entry.first_sent_at);
        }
        // The restored entries are stored already.
        self.log.take_changed();
        self.is_vote_suspended = false;
        self.started_at = now;
        self.has_vote = complete || self.settings.is_single();
    }

    /// Called when the storage has failed: gives up the replica's vote and keeps the log. Writes that wait for
    /// votes are rejected, and writes not forwarded yet are not forwarded by this gateway, as their
    /// announcements were never stored here.
    pub fn lose_storage(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        self.is_vote_suspended = true;
        self.has_vote = false;
        self.log.stop_tracking_changes();
        self.cancel_forwards();
        for pending in self.pending_accepts.values_mut() {
            pending.started_at = Micros(0);
        }
        self.tick_accepts(now, out);
    }

    /// Returns the writes changed since the last call with their current entries, `None` for removed ones.
    pub fn take_changed(&mut self) -> Vec<(Dot, Option<LogEntry>)> {
        let changed = self.log.take_changed();
        changed.into_iter().map(|dot| (dot, self.log.get(dot).cloned())).collect()
    }

    /// Returns the log of this replica.
    pub fn log(&self) -> &WriteLog {
        &self.log
    }

    /// Returns whether the replica has a vote.
    pub fn has_vote(&self) -> bool {
        self.has_vote
    }

    /// Returns whether the branch is isolated from the backends.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Returns the number of writes in flight from this gateway.
    pub fn in_flight(&self) -> usize {
        self.replay.in_flight()
    }

    /// Returns the status of a write.
    pub fn status(&self, dot: Dot) -> WriteStatus {
        self.log.get(dot).map_or(WriteStatus::Lost, |entry| WriteStatus::Known(entry.state))
    }

    /// Returns whether a write must be queued instead of sent directly: the branch is isolated, or writes of
    /// this customer or on this object are still pending.
    pub fn should_queue(&self, customer: u64, object: u64) -> bool {
        self.is_isolated || self.log.has_pending_for(customer, object)
    }

    /// Records whether an attempt at a backend got a response.
    pub fn record_attempt(&mut self, now: Micros, responded: bool) {
        self.uplink.record_attempt(now, responded, &self.settings);
    }

    fn peers(&self) -> Vec<u16> {
        self.catch_ups.keys().copied().collect()
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Handles a message from another gateway of the branch.
    pub fn on_message(&mut self, now: Micros, from: u16, message: QueueMessage, out: &mut Vec<QueueEffect>) {
        if !self.catch_ups.contains_key(&from) {
            return;
        }
        match message {
            QueueMessage::QueryHeads { token, customer, object } => {
                let heads = self.log.heads(now, customer, object);
                let position = self.log.highest_position();
                let message = QueueMessage::Heads { token, heads, position, has_vote: self.has_vote };
                out.push(QueueEffect::Send { to: from, message });
            }
            QueueMessage::Heads { token, heads, position, has_vote } => {
                let heads = Heads { newest: heads, position };
                self.on_heads(now, from, token, heads, has_vote, out);
            }
            QueueMessage::Replicate(replicated) => self.on_replicate(now, from, &replicated, out),
            QueueMessage::Acknowledge { dot, state } => self.on_acknowledge(now, from, dot, state, out),
            QueueMessage::Rejected { .. } => {}
            QueueMessage::QueryPage { round, after } => self.send_page(from, round, after, out),
            QueueMessage::Page(page) => self.on_page(now, from, &page, out),
            QueueMessage::Fetch(dots) => {
                for dot in dots.into_iter().take(FETCH_LIMIT) {
                    let message = self.replicate_message(now, dot);
                    out.extend(message.map(|message| QueueEffect::Send { to: from, message }));
                }
            }
            QueueMessage::UplinkStatus { is_down, .. } => {
                self.uplink.record_peer_status(now, from, is_down);
            }
        }
    }

    /// Called on each tick. `has_lease` tells whether this gateway holds the lease of the branch's record now, and
    /// `has_lease_with_margin` whether it still does after the lease margin.
    pub fn tick(
        &mut self,
        now: Micros,
        has_lease_with_margin: bool,
        has_lease: bool,
        out: &mut Vec<QueueEffect>,
    ) {
        self.tick_accepts(now, out);
        self.tick_announcements(now, out);
        self.tick_catch_ups(now, out);
        self.tick_uplink(now, out);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.log.remove_expired(now, &self.settings);
        }
        self.update_vote(now);
        if has_lease_with_margin && has_lease && !self.is_isolated && self.has_vote {
            self.forward_next(now, out);
        } else if !has_lease {
            // A new lease holder may start to forward the same writes, so those not yet forwarded are cancelled here.
            self.leader_since_catch_up = None;
            self.cancel_forwards();
        }
    }

    fn tick_uplink(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        if now - self.uplink_reported_at < UPLINK_REPORT_INTERVAL {
            return;
        }
        self.uplink_reported_at = now;
        let is_down = self.uplink.is_down();
        let since_response = self.uplink.since_response(now);
        for to in self.peers() {
            let message = QueueMessage::UplinkStatus { since_response, is_down };
            out.push(QueueEffect::Send { to, message });
        }
        let isolated = self.uplink.update(now, &self.settings);
        if isolated != self.is_isolated {
            self.is_isolated = isolated;
            out.push(QueueEffect::IsolationChanged { isolated, since_response });
        }
    }
}
