//! One gateway's part in its branch: it accepts writes with the others' votes, holds theirs, keeps up with them, and,
//! while it owns the branch's record, sends them on.

mod accept;
mod catch_up;
mod notify;
use crate::cluster::write_queue::replay::{Replay, Step};
use crate::cluster::write_queue::write::{LONGEST, MOST_AFTER};
use crate::cluster::write_queue::{Dot, End, Entry, Fate, Line, Message, Shelf, State, Terms, Write};
use crate::cluster::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A write that has not the votes by then is refused, as without a branch.
const ACCEPT: Micros = Micros(400_000);
/// What is not answered is said again after this.
const AGAIN: Micros = Micros(60_000);
/// Between two rounds of asking all others for what they hold.
const ROUND: Micros = Micros(1_000_000);
/// Names in one page.
const PAGE: usize = 40;
/// The most writes that are asked for or sent at once.
const FETCH: usize = 20;
/// Writes that wait for their votes at once.
const MOST_OPEN: usize = 500;
/// Between two words on the line.
const LINE: Micros = Micros(250_000);
/// A branch of which all are new, as far as they see, begins anew after this: nobody holds anything.
const ALL_NEW: Micros = Micros(5_000_000);
/// A time that was told is off by no more than a datagram may be under way.
const UNDER_WAY: Micros = Micros(100_000);
const SWEEP: Micros = Micros(1_000_000);

/// What a clerk wants done.
#[derive(Debug)]
pub enum Telling {
    /// Send this to a seat.
    To(u16, Message),
    /// A write that was asked for here is accepted under this name, or not.
    Accepted(Dot, bool),
    /// Send this write on, in this try; it may have been sent before, at this time first.
    Send(Write, u16, Option<Micros>),
    /// A write that was accepted ended otherwise than done.
    NotDone(Dot, End),
    /// The branch is cut off from now on, or no longer; the last answer came so long ago.
    Cut(bool, Micros),
}

/// What a client that asks for a write is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// What is known of it.
    Known(State),
    /// Nobody here knows it: too old, lost with all that held it, or never accepted.
    Lost,
}

/// Figures.
#[derive(Debug, Clone, Default)]
pub struct Tallies {
    /// Writes accepted here, and refused for want of votes or room.
    pub accepted: u64,
    /// Refused.
    pub refused: u64,
    /// Writes that were sent on from here, and how they ended.
    pub sent: u64,
    /// Done.
    pub done: u64,
    /// Ended otherwise.
    pub not_done: u64,
}

/// A write that waits for its votes.
struct Opening {
    write: Write,
    since: Micros,
    said: Micros,
    /// Heads heard, by seat; once more than half have spoken, who holds it.
    heads: BTreeMap<u16, (Vec<Dot>, u64)>,
    held: Option<BTreeSet<u16>>,
}

/// A state that is said until more than half have it.
struct Saying {
    state: State,
    held: BTreeSet<u16>,
    said: Micros,
    /// It is sent on once they have; `Some(true)`: an owner before may have sent it already.
    then_send: Option<bool>,
}

/// A round of asking one other for all it holds.
#[derive(Default)]
struct Walk {
    round: u64,
    /// Where this page begins and, once it is here, where it ends.
    after: Option<Dot>,
    to: Option<Dot>,
    asked: Micros,
    /// Rounds that came to their end, all of it being here then.
    ended: u64,
    voted: bool,
    /// Names of this page of which the other knows more.
    missing: BTreeSet<Dot>,
    last: bool,
}

/// The part.
pub struct Clerk {
    own: u16,
    terms: Terms,
    life: u32,
    number: u32,
    token: u64,
    shelf: Shelf,
    /// It holds all that it could have held before its start.
    votes: bool,
    /// Its disk is not read yet, or takes nothing more: it has no vote, whatever it holds.
    barred: bool,
    born: Micros,
    walks: BTreeMap<u16, Walk>,
    /// When the last rounds at more than half began and how many such there were.
    rounds: u64,
    opening: BTreeMap<u64, Opening>,
    saying: BTreeMap<Dot, Saying>,
    replay: Replay,
    /// Rounds that were over when this one took the lead, and when each missing name was first missed.
    led_from: Option<u64>,
    missed: BTreeMap<Dot, u64>,
    line: Line,
    line_at: Micros,
    sweep_at: Micros,
    cut: bool,
    /// Figures.
    pub tallies: Tallies,
}

impl Clerk {
    /// For the gateway in this seat.
    pub fn new(own: u16, terms: Terms, life: u64, now: Micros) -> Clerk {
        let others = terms.seats.iter().filter(|seat| **seat != own);
        let walks = others.map(|seat| (*seat, Walk { asked: Micros(0), ..Walk::default() })).collect();
        Clerk {
            own,
            votes: terms.seats.len() == 1,
            walks,
            terms,
            life: life as u32,
            number: 0,
            token: life,
            shelf: Shelf::default(),
            barred: false,
            born: now,
            rounds: 0,
            opening: BTreeMap::new(),
            saying: BTreeMap::new(),
            replay: Replay::default(),
            led_from: None,
            missed: BTreeMap::new(),
            line: Line::new(now),
            line_at: now,
            sweep_at: now,
            cut: false,
            tallies: Tallies::default(),
        }
    }

    /// It has no vote until its disk is read, and notes what changes from then on.
    pub fn await_disk(&mut self) {
        (self.barred, self.votes) = (true, false);
        self.shelf.note_changes();
    }
    /// Its disk is read and held this. `all`: an earlier life had a vote, and all that it said is among it.
    pub fn remember(&mut self, now: Micros, entries: Vec<Entry>, all: bool) {
        for entry in entries.iter().filter(|entry| entry.write.is_sound()) {
            self.shelf.take(now, &entry.write, entry.state, entry.born, entry.sent);
        }
        // It is there already.
        self.shelf.take_changed();
        (self.barred, self.born) = (false, now);
        self.votes = all || self.terms.seats.len() == 1;
    }
    /// Its disk takes nothing more: it gives up its vote, and holds on to what it holds. What waits for votes is refused,
    /// and what was not sent by now is not sent from here: its own word on them was never on the disk.
    pub fn lose_disk(&mut self, now: Micros, out: &mut Vec<Telling>) {
        (self.barred, self.votes) = (true, false);
        self.shelf.note_no_changes();
        self.saying.retain(|_, saying| saying.then_send.is_none());
        self.opening.values_mut().for_each(|opening| opening.since = Micros(0));
        self.openings(now, out);
    }
    /// What has changed since this was last called, and what is held of it now.
    pub fn take_changed(&mut self) -> Vec<(Dot, Option<Entry>)> {
        let changed = self.shelf.take_changed();
        changed.into_iter().map(|dot| (dot, self.shelf.get(dot).cloned())).collect()
    }

    /// What it holds.
    pub fn shelf(&self) -> &Shelf {
        &self.shelf
    }
    /// Whether it has a vote.
    pub fn votes(&self) -> bool {
        self.votes
    }
    /// Whether the branch is cut off.
    pub fn is_cut(&self) -> bool {
        self.cut
    }
    /// How many are out.
    pub fn out(&self) -> usize {
        self.replay.out()
    }
    /// What became of a write.
    pub fn status(&self, dot: Dot) -> Status {
        self.shelf.get(dot).map_or(Status::Lost, |entry| Status::Known(entry.state))
    }
    /// Whether a write is to be accepted rather than sent: the branch is cut off, or writes of this customer or on
    /// this object wait still.
    pub fn takes(&self, customer: u64, object: u64) -> bool {
        self.cut || self.shelf.lines_up(customer, object)
    }

    /// An attempt outside was answered, or not.
    pub fn saw(&mut self, now: Micros, answered: bool) {
        self.line.saw(now, answered, &self.terms);
    }

    fn others(&self) -> Vec<u16> {
        self.walks.keys().copied().collect()
    }

    /// Another gateway of the branch speaks.
    pub fn hear(&mut self, now: Micros, seat: u16, message: Message, out: &mut Vec<Telling>) {
        if !self.walks.contains_key(&seat) {
            return;
        }
        match message {
            Message::Ask(token, customer, object) => {
                let heads = self.shelf.heads(now, customer, object);
                let heads = Message::Heads(token, heads, self.shelf.place(), self.votes);
                out.push(Telling::To(seat, heads));
            }
            Message::Heads(token, heads, place, votes) => {
                if let Some(opening) = self.opening.get_mut(&token).filter(|_| votes) {
                    opening.heads.insert(seat, (heads, place));
                    self.go_on(now, token, out);
                }
            }
            Message::Hold(write, state, age, sent_ago) => {
                self.hold(now, seat, &write, state, age, sent_ago, out)
            }
            Message::Held(dot, state) => self.held(now, seat, dot, state, out),
            Message::Full(_) => {}
            Message::Want(round, after) => {
                let (page, more) = self.shelf.behind(after, PAGE);
                out.push(Telling::To(seat, Message::Page(round, page, more, self.votes)));
            }
            Message::Page(round, page, more, votes) => self.page(now, seat, (round, page, more, votes), out),
            Message::Fetch(dots) => {
                for dot in dots.into_iter().take(FETCH) {
                    out.extend(self.hold_of(now, dot).map(|hold| Telling::To(seat, hold)));
                }
            }
            Message::Line(_, down) => self.line.hear(now, seat, down),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn hold(
        &mut self,
        now: Micros,
        seat: u16,
        write: &Write,
        state: State,
        age: Micros,
        sent_ago: Option<Micros>,
        out: &mut Vec<Telling>,
    ) {
        let dot = write.dot;
        let known = self.shelf.get(dot).is_some();
        // What all forget after a while must not go round for ever.
        let stale = !known
            && state.is_over()
            && age >= crate::cluster::write_queue::write_log::REMEMBERED + self.terms.longest;
        if stale {
            self.has_come(seat, dot);
            return self.walk_on(now, seat, out);
        }
        if !write.is_sound() || !known && !state.is_over() && self.shelf.open() >= self.terms.most * 2 {
            return out.push(Telling::To(seat, Message::Full(dot)));
        }
        // Somewhat earlier rather than later: the time in which repeats are dropped must not seem longer.
        let sent = sent_ago.map(|ago| now - ago - UNDER_WAY);
        self.shelf.take(now, write, state, now - age, sent);
        self.has_come(seat, dot);
        self.missed.remove(&dot);
        // One that is new has a vote here once all is here that it comes after.
        let missing = if state == State::Waiting(0) { self.shelf.missing(&write.after) } else { Vec::new() };
        match self.shelf.get(dot).map(|e| e.state) {
            Some(state) if self.votes && missing.is_empty() => {
                out.push(Telling::To(seat, Message::Held(dot, state)));
            }
            _ if !missing.is_empty() => out.push(Telling::To(seat, Message::Fetch(missing))),
            _ => {}
        }
        if !known {
            let lacked: Vec<u64> =
                self.opening.iter().filter(|(_, o)| o.held.is_none()).map(|(token, _)| *token).collect();
            lacked.into_iter().for_each(|token| self.go_on(now, token, out));
        }
        self.walk_on(now, seat, out);
    }

    /// Time went by. `acts`: the branch's record is surely this one's now; `leads`: and for a while.
    pub fn tick(&mut self, now: Micros, leads: bool, acts: bool, out: &mut Vec<Telling>) {
        self.openings(now, out);
        self.sayings(now, out);
        self.ask_rounds(now, out);
        if now - self.line_at >= LINE {
            self.line_at = now;
            let (down, answered) = self.line.own(now);
            out.extend(
                self.others().into_iter().map(|seat| Telling::To(seat, Message::Line(answered, down))),
            );
            let cut = self.line.update(now, &self.terms);
            if std::mem::replace(&mut self.cut, cut) != cut {
                out.push(Telling::Cut(cut, answered));
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.shelf.sweep(now, &self.terms);
        }
        self.rounds_over(now);
        if leads && acts && !self.cut && self.votes {
            self.send_on(now, out);
        } else if !acts {
            // Who leads now may begin the same: what was not sent by then is not sent from here.
            self.led_from = None;
            self.saying.retain(|_, saying| saying.then_send.is_none());
        }
    }
}

/// What is said of a write.
fn hold_of(shelf: &Shelf, now: Micros, dot: Dot) -> Option<Message> {
    let entry = shelf.get(dot)?;
    let sent_ago = entry.sent.map(|at| now - at);
    Some(Message::Hold(Box::new(entry.write.clone()), entry.state, now - entry.born, sent_ago))
}
