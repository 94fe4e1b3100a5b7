//! What goes out next after the heal: in the order of cause and effect, at a bounded pace, each on record before it goes.

use crate::cluster::write_queue::{Dot, End, Shelf, State, Terms};
use crate::cluster::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A write that was refused is tried again after this, doubled each time.
const AGAIN: Micros = Micros(200_000);
const LONGEST_AGAIN: Micros = Micros(2_000_000);

/// The part of `per_s` with which sending on begins: many branches may heal in one second. Each that is answered adds a
/// part to the pace, and once it was too much less: a part of `per_s` in a second. Where more than a part of the last were
/// refused, it is halved, no more often than this, down to one a second.
const BEGINS: f64 = 0.1;
const GROWS: f64 = 0.05;
const GROWS_ON: f64 = 0.1;
const REFUSED_PART: f64 = 0.3;
const HALVED_EVERY: Micros = Micros(300_000);
const LEAST_PACE: f64 = 1.0;
/// Weight of the last in the part that was refused.
const SMOOTH: f64 = 0.1;

/// So many of those that wait are looked at each time, the earliest first.
const SCAN: usize = 1000;

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// A backend answered with this status.
    Answered(u16),
    /// It was refused here: it surely never ran, and may be tried again.
    Refused,
    /// It may have run, and nobody answered.
    Lost,
}

/// What is done with a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Say that it is about to be sent, then send it.
    Begin(Dot, u16),
    /// Say that it ended.
    End(Dot, End),
}

/// The leader's side of it.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    /// Begun and not ended here.
    out: BTreeSet<Dot>,
    /// Not before then.
    not_before: BTreeMap<Dot, (Micros, Micros)>,
    pace: Pace,
    /// Tokens for the pace.
    tokens: f64,
    filled: Micros,
}

/// How many go out each second: as many as are borne, whoever else sends.
#[derive(Debug, Clone, Default)]
struct Pace {
    /// None before the first of a drain.
    per_s: Option<f64>,
    refused: f64,
    halved: Micros,
}

impl Pace {
    fn now(&self, terms: &Terms) -> f64 {
        let most = f64::from(terms.per_s);
        self.per_s.unwrap_or(most * BEGINS).clamp(LEAST_PACE.min(most), most)
    }

    fn ended(&mut self, now: Micros, terms: &Terms, borne: bool) {
        let pace = self.now(terms);
        self.refused += SMOOTH * (f64::from(u8::from(!borne)) - self.refused);
        if borne {
            let most = f64::from(terms.per_s);
            let more = if self.halved > Micros(0) { most * GROWS_ON / pace } else { pace * GROWS };
            self.per_s = Some(pace + more);
        } else if self.refused > REFUSED_PART && now - self.halved >= HALVED_EVERY {
            (self.per_s, self.halved) = (Some(pace / 2.0), now);
        }
    }
}

impl Replay {
    /// How many are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// One that was begun was not sent from here.
    pub fn forget(&mut self, dot: Dot) {
        self.out.remove(&dot);
    }

    /// A send ended; what is to be said of it.
    pub fn finished(&mut self, now: Micros, dot: Dot, tries: u16, fate: Fate, terms: &Terms) -> State {
        self.out.remove(&dot);
        // A customer beyond its quota is refused now and then; a fleet that can bear no more refuses many.
        self.pace.ended(now, terms, matches!(fate, Fate::Answered(_)));
        match fate {
            Fate::Answered(status) => State::Ended(End::Done(status)),
            Fate::Lost => State::Ended(End::Unknown),
            Fate::Refused => {
                let wait =
                    self.not_before.get(&dot).map_or(AGAIN, |(_, wait)| (*wait + *wait).min(LONGEST_AGAIN));
                self.not_before.insert(dot, (now + wait, wait));
                State::Waiting(tries.saturating_add(1))
            }
        }
    }

    /// What to do now. `void`: nobody of more than half holds this one, so that it was never accepted.
    pub fn next(
        &mut self,
        now: Micros,
        shelf: &Shelf,
        terms: &Terms,
        void: impl Fn(Dot) -> bool,
    ) -> Vec<Step> {
        if self.out.is_empty() && shelf.open() == 0 {
            self.pace = Pace::default();
        }
        let pace = self.pace.now(terms);
        self.tokens = (self.tokens + pace * (now - self.filled).secs()).min((pace / 10.0).max(1.0));
        self.filled = now;
        self.not_before.retain(|dot, _| shelf.get(*dot).is_some_and(|e| !e.state.is_over()));
        let mut steps = Vec::new();
        for entry in shelf.waiting().take(SCAN) {
            let dot = entry.write.dot;
            if self.out.contains(&dot) || self.not_before.get(&dot).is_some_and(|(at, _)| now < *at) {
                continue;
            }
            match self.judge(now, shelf, entry, terms, &void) {
                Some(Step::Begin(dot, tries)) => {
                    if self.out.len() >= terms.out || self.tokens < 1.0 {
                        break;
                    }
                    self.tokens -= 1.0;
                    self.out.insert(dot);
                    steps.push(Step::Begin(dot, tries));
                }
                Some(end) => steps.push(end),
                None => {}
            }
        }
        steps
    }

    fn judge(
        &self,
        now: Micros,
        shelf: &Shelf,
        entry: &crate::cluster::write_queue::Entry,
        terms: &Terms,
        void: &impl Fn(Dot) -> bool,
    ) -> Option<Step> {
        let dot = entry.write.dot;
        let tries = match entry.state {
            // An owner before this one may have sent it, and may yet hear how that ends.
            State::Sent(_) if entry.sent.is_some_and(|at| now - at < terms.patience) => return None,
            State::Sent(tries) => return Some(Step::Begin(dot, tries.saturating_add(1))),
            State::Waiting(tries) => tries,
            State::Ended(_) => return None,
        };
        match passed(shelf, &entry.write.after, terms, void) {
            Passed::Yes => {}
            Passed::NotYet => return None,
            Passed::Never(of) => return Some(Step::End(dot, End::Stopped(of))),
        }
        if entry.sent.is_none() && now - entry.born >= terms.longest {
            return Some(Step::End(dot, End::Expired));
        }
        // Of two on one object that know nothing of each other the later place stands, at every gateway.
        let later = shelf
            .on_object(entry.write.object)
            .filter(|o| (o.write.place, o.write.dot) > (entry.write.place, dot))
            .find(|o| !knows(shelf, &o.write.after, dot));
        if let Some(rival) = later.filter(|_| entry.sent.is_none()) {
            return Some(Step::End(dot, End::Superseded(rival.write.dot)));
        }
        Some(Step::Begin(dot, tries))
    }
}

enum Passed {
    Yes,
    NotYet,
    Never(Dot),
}

/// Whether all of these have an end, and whether that lets what comes after them go. One that was given up before its
/// turn says nothing of those before it: these are looked at as well.
fn passed(shelf: &Shelf, after: &[Dot], terms: &Terms, void: &impl Fn(Dot) -> bool) -> Passed {
    let (mut open, mut seen) = (after.to_vec(), BTreeSet::new());
    while let Some(dot) = open.pop().filter(|_| seen.len() < SCAN) {
        if !seen.insert(dot) {
            continue;
        }
        let Some(entry) = shelf.get(dot) else {
            if void(dot) {
                continue;
            }
            return Passed::NotYet;
        };
        match entry.state {
            State::Ended(End::Done(status)) if status < 400 => {}
            State::Ended(End::Superseded(_)) => {}
            State::Ended(End::Expired) if entry.sent.is_none() => open.extend(&entry.write.after),
            State::Ended(_) if !terms.stop.contains(&entry.write.class) => {}
            State::Ended(_) => return Passed::Never(dot),
            State::Waiting(_) | State::Sent(_) => return Passed::NotYet,
        }
    }
    Passed::Yes
}

/// Whether one of these comes after that one, however far back, or may: what is not held here can't be looked through.
fn knows(shelf: &Shelf, after: &[Dot], of: Dot) -> bool {
    let mut open: Vec<Dot> = after.to_vec();
    let mut seen = BTreeSet::new();
    while let Some(dot) = open.pop() {
        if dot == of {
            return true;
        }
        if seen.insert(dot) {
            let Some(entry) = shelf.get(dot) else { return true };
            open.extend(&entry.write.after);
        }
    }
    false
}
