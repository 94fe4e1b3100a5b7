//! One gateway's part in its branch: it accepts writes with the others' votes, holds theirs, keeps up with them and,
//! while it owns the branch's record, forwards them.

mod accept;
mod catch_up;
mod notify;
mod store;

use super::message::QueueMessage;
use super::replay::Replay;
use super::settings::WriteQueueSettings;
use super::uplink::UplinkMonitor;
use super::write::{Dot, Write, WriteOutcome, WriteState};
use super::write_log::{LogEntry, WriteLog};
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What is not answered is sent again after this.
const RESEND_AFTER: Micros = Micros(60_000);
/// The most writes that are asked for or sent at once.
const FETCH_LIMIT: usize = 20;
/// Writes in one page of what a replica holds.
const PAGE_LIMIT: usize = 40;
/// Between two messages on the own uplink.
const UPLINK_REPORT_INTERVAL: Micros = Micros(250_000);
/// Between two looks for writes that have expired.
const EXPIRY_INTERVAL: Micros = Micros(1_000_000);

/// What a replica wants done.
#[derive(Debug)]
pub enum QueueEffect {
    /// Send this to a seat.
    Send {
        /// The seat.
        to: u16,
        /// The message.
        message: QueueMessage,
    },
    /// A write that was asked for here is accepted under this name, or not.
    Decided {
        /// The write.
        dot: Dot,
        /// Whether it is accepted.
        accepted: bool,
    },
    /// Forward this write.
    Forward {
        /// The write.
        write: Write,
        /// In which attempt.
        attempt: u16,
        /// When it was first forwarded, where an owner before may have done so.
        first_sent_at: Option<Micros>,
    },
    /// A write that was accepted ended otherwise than completed.
    NotCompleted {
        /// The write.
        dot: Dot,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// The branch is isolated from now on, or no longer.
    IsolationChanged {
        /// Whether it is.
        isolated: bool,
        /// How long ago the last response came.
        since_response: Micros,
    },
}

/// The answer to a client that asks for a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// What is known of it.
    Known(WriteState),
    /// Nobody here knows it: too old, lost with all that held it, or never accepted.
    Lost,
}

/// How many writes came to what.
#[derive(Debug, Clone, Default)]
pub struct QueueCounts {
    /// Accepted here.
    pub accepted: u64,
    /// Rejected here for want of votes or capacity.
    pub rejected: u64,
    /// Forwarded from here.
    pub forwarded: u64,
    /// Of them, completed.
    pub completed: u64,
    /// Ended otherwise.
    pub not_completed: u64,
}

/// What a replica holds for one customer and object.
struct Heads {
    newest: Vec<Dot>,
    position: u64,
}

/// A write that waits for its votes.
struct PendingAccept {
    write: Write,
    since: Micros,
    /// When its messages were last sent.
    sent_at: Micros,
    /// By seat, this one among them.
    heads: BTreeMap<u16, Heads>,
    /// Who holds the write, once a quorum has sent its heads.
    held_by: Option<BTreeSet<u16>>,
}

/// A state of a write that is announced until a quorum holds it.
struct Announcement {
    state: WriteState,
    held_by: BTreeSet<u16>,
    /// When it was last sent.
    sent_at: Micros,
    /// What follows once a quorum holds it.
    then: AfterAnnouncement,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterAnnouncement {
    Nothing,
    /// The write is forwarded.
    Forward {
        /// An owner before this one may have forwarded it already.
        may_have_run: bool,
    },
}

/// A walk through all that another replica holds, page by page.
#[derive(Default)]
struct CatchUp {
    /// The token of the page that is asked for; 0: none is.
    round: u64,
    /// Where the page begins.
    after: Option<Dot>,
    /// Where it ends, once it is here.
    until: Option<Dot>,
    asked_at: Micros,
    /// Walks that came to their end, all of it being here then.
    completed: u64,
    peer_has_vote: bool,
    /// Writes of this page of which the other knows more.
    missing: BTreeSet<Dot>,
    is_last_page: bool,
}

impl CatchUp {
    fn is_walking(&self) -> bool {
        self.round > 0
    }
}

/// One gateway's part in its branch.
pub struct QueueReplica {
    own_seat: u16,
    settings: WriteQueueSettings,
    process: u32,
    last_number: u32,
    last_token: u64,
    log: WriteLog,
    /// It holds all that it could have held before its start.
    has_vote: bool,
    /// Its storage is not read yet, or takes nothing more: it has no vote, whatever it holds.
    is_barred: bool,
    started_at: Micros,
    catch_ups: BTreeMap<u16, CatchUp>,
    /// How many walks a quorum, this one among it, has completed.
    completed_walks: u64,
    pending_accepts: BTreeMap<u64, PendingAccept>,
    announcements: BTreeMap<Dot, Announcement>,
    replay: Replay,
    /// `completed_walks` when this one took the lead.
    leads_since_walk: Option<u64>,
    /// `completed_walks` when each missing dependency was first missed.
    missing_since_walk: BTreeMap<Dot, u64>,
    uplink: UplinkMonitor,
    uplink_reported_at: Micros,
    next_expiry: Micros,
    is_isolated: bool,
    /// How many writes came to what.
    pub counts: QueueCounts,
}

impl QueueReplica {
    /// For the gateway in this seat; `process` is drawn at random.
    pub fn new(own_seat: u16, settings: WriteQueueSettings, process: u64, now: Micros) -> QueueReplica {
        let others = settings.seats.iter().filter(|seat| **seat != own_seat);
        QueueReplica {
            own_seat,
            has_vote: settings.is_single(),
            catch_ups: others.map(|seat| (*seat, CatchUp::default())).collect(),
            settings,
            process: process as u32,
            last_number: 0,
            last_token: process,
            log: WriteLog::default(),
            is_barred: false,
            started_at: now,
            completed_walks: 0,
            pending_accepts: BTreeMap::new(),
            announcements: BTreeMap::new(),
            replay: Replay::default(),
            leads_since_walk: None,
            missing_since_walk: BTreeMap::new(),
            uplink: UplinkMonitor::new(now),
            uplink_reported_at: now,
            next_expiry: now,
            is_isolated: false,
            counts: QueueCounts::default(),
        }
    }

    /// It has no vote until its storage is read, and notes what changes from then on.
    pub fn await_storage(&mut self) {
        self.is_barred = true;
        self.has_vote = false;
        self.log.track_changes();
    }

    /// Its storage is read and held these. `complete`: an earlier process had a vote, and all that it acknowledged is among them.
    pub fn restore(&mut self, now: Micros, entries: &[LogEntry], complete: bool) {
        for entry in entries.iter().filter(|entry| entry.write.fits()) {
            self.log.merge(now, &entry.write, entry.state, entry.accepted_at, entry.first_sent_at);
        }
        // It is stored already.
        self.log.take_changed();
        self.is_barred = false;
        self.started_at = now;
        self.has_vote = complete || self.settings.is_single();
    }

    /// Its storage takes nothing more: it gives up its vote, and keeps what it holds. Writes that wait for votes are
    /// rejected, and what was not forwarded by now is not forwarded from here: its own announcement of them was never stored.
    pub fn lose_storage(&mut self, now: Micros, out: &mut Vec<QueueEffect>) {
        self.is_barred = true;
        self.has_vote = false;
        self.log.stop_tracking_changes();
        self.cancel_forwards();
        for pending in self.pending_accepts.values_mut() {
            pending.since = Micros(0);
        }
        self.tick_accepts(now, out);
    }

    /// What has changed since this was last called, and what is held of it now.
    pub fn take_changed(&mut self) -> Vec<(Dot, Option<LogEntry>)> {
        let changed = self.log.take_changed();
        changed.into_iter().map(|dot| (dot, self.log.get(dot).cloned())).collect()
    }

    /// What it holds.
    pub fn log(&self) -> &WriteLog {
        &self.log
    }

    /// Whether it has a vote.
    pub fn has_vote(&self) -> bool {
        self.has_vote
    }

    /// Whether the branch is isolated from the backends.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// How many writes are in flight from here.
    pub fn in_flight(&self) -> usize {
        self.replay.in_flight()
    }

    /// What became of a write.
    pub fn status(&self, dot: Dot) -> WriteStatus {
        self.log.get(dot).map_or(WriteStatus::Lost, |entry| WriteStatus::Known(entry.state))
    }

    /// Whether a write is to be queued rather than sent: the branch is isolated, or writes of this customer or on this
    /// object are pending still.
    pub fn should_queue(&self, customer: u64, object: u64) -> bool {
        self.is_isolated || self.log.has_pending_for(customer, object)
    }

    /// An attempt at a backend got a response, or none.
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

    /// Handles a message of another gateway of the branch.
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

    /// To be called as time passes. `acts`: the branch's record is surely this one's now; `leads`: and for a while.
    pub fn tick(&mut self, now: Micros, leads: bool, acts: bool, out: &mut Vec<QueueEffect>) {
        self.tick_accepts(now, out);
        self.tick_announcements(now, out);
        self.tick_catch_ups(now, out);
        self.tick_uplink(now, out);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.log.remove_expired(now, &self.settings);
        }
        self.update_vote(now);
        if leads && acts && !self.is_isolated && self.has_vote {
            self.forward_next(now, out);
        } else if !acts {
            // Whoever leads now may begin the same: what was not forwarded by then is not forwarded from here.
            self.leads_since_walk = None;
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
