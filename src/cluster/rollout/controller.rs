//! One gateway's part in a rollout: it passes on what is in force, sends its counts to those who collect them, halts
//! where it collects and sees cause, and, while it owns the rollout's record, leads from stage to stage.

use crate::cluster::ledger::ClaimId;
use crate::cluster::rollout::sequential_test::in_force;
use crate::cluster::rollout::{
    halts, passes, Arm, End, Ended, Key, Message, Open, Order, Row, Rows, Rules, Start, Tally, Why, TICK,
};
use crate::cluster::Micros;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// So many of those present collect all counts, drawn by rendezvous: each side of a cut has its own.
const COLLECTORS: usize = 3;
/// So many others are told what is in force at each tick, whoever they are.
const PASSED_ON: usize = 2;
/// A leader that was not heard for so long is replaced; heirs come forward over some time, not all at once.
const SILENT: Micros = Micros(2_500_000);
const COME_FORWARD: u64 = 1_500_000;
/// Counts are sent on for so long after the end, so that people see who has heard of it.
const AFTER_END: Micros = Micros(30_000_000);
/// Nobody takes the lead for so long after another was found to have it.
const NOT_YET: Micros = Micros(1_000_000);

/// A process that is younger may not have heard yet of a rollout that runs, and begins none.
const HEARD: Micros = Micros(3_000_000);

/// What a steward wants done.
#[derive(Debug)]
pub enum Telling {
    /// Send this to a seat.
    To(u16, Message),
    /// Claim the rollout's record.
    Claim,
    /// Let go of it.
    LetGo(ClaimId),
    /// Other rules, or another part of the customers, from now on.
    Routing,
    /// A line for the log.
    Log(Told),
}

/// What people should hear of a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// Another stage, or pause, is in force here.
    Stage(Key, u8, bool),
    /// It ended.
    Ended(Key, End),
    /// This gateway leads it from now on.
    Leads(Key),
}

/// What operators read.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The rollout's number.
    pub number: u64,
    /// More than three in four seats have known it.
    pub confirmed: bool,
    /// The stage here, from 1, and how many there are.
    pub stage: (u8, usize),
    /// The part of the customers that have the new rules here, in percent.
    pub percent: f64,
    /// It is paused.
    pub paused: bool,
    /// `running`, `done`, `aborted` or `halted`.
    pub state: &'static str,
    /// Why it was halted, and by whom.
    pub why: Option<String>,
    /// This gateway leads it.
    pub leads: bool,
    /// This gateway collects the counts: the rest is told by such alone.
    pub collects: bool,
    /// Seats heard within 2 s, and of them those that go by this stage and end.
    pub heard: (usize, usize),
    /// By arm (old, new): requests in time, late, failed, refused unsent.
    pub ends: [[u64; 4]; 2],
    /// Words of others that could not be.
    pub refused: u64,
}

/// The part.
pub struct Steward {
    own: u16,
    seats: usize,
    zone: String,
    base: Rules,
    born: Micros,
    life: u64,
    seq: u64,
    rng: fastrand::Rng,
    order: Option<Order>,
    ended_at: Option<Micros>,
    tally: Tally,
    rows: Rows,
    collects: bool,
    last_tick: Micros,
    /// What came before may have lain in a buffer while this process stood still.
    prompt_from: Micros,
    /// Whom this one heard lead, and when.
    leader: Option<(u16, Micros)>,
    claim: Option<ClaimId>,
    claim_at: Micros,
    led: bool,
    /// What somebody asked for here, until its record is owned.
    starting: Option<Start>,
    /// Since when this one leads in this stage, and what was there when the stage was in force.
    stage: Option<(u8, Micros, Option<Open>)>,
}

impl Steward {
    /// For the gateway in this seat of so many, where these rules were in force before any rollout.
    pub fn new(own: u16, seats: usize, zone: String, base: Rules, life: u64, now: Micros) -> Steward {
        Steward {
            own,
            seats,
            zone,
            base,
            born: now,
            life,
            seq: 0,
            rng: fastrand::Rng::with_seed(life),
            order: None,
            ended_at: None,
            tally: Tally::default(),
            rows: Rows::default(),
            collects: false,
            last_tick: now,
            prompt_from: now,
            leader: None,
            claim: None,
            claim_at: now,
            led: false,
            starting: None,
            stage: None,
        }
    }

    /// What is in force here; none before the first rollout that was heard of.
    pub fn order(&self) -> Option<&Order> {
        self.order.as_ref()
    }
    /// The rules that were in force before any rollout.
    pub fn base(&self) -> &Rules {
        &self.base
    }
    /// The claim on the rollout's record.
    pub fn claim(&self) -> Option<ClaimId> {
        self.claim
    }
    /// A rollout runs, as far as is known here.
    pub fn runs(&self) -> bool {
        self.order.as_ref().is_some_and(|order| order.end.is_none())
    }

    /// Somebody wants a rollout. Returns whether its record is to be claimed now: two never run at one time.
    pub fn start(&mut self, now: Micros, start: Start, out: &mut Vec<Telling>) -> bool {
        if now - self.born < HEARD || self.runs() || self.starting.is_some() || self.claim.is_some() {
            return false;
        }
        self.starting = Some(start);
        out.push(Telling::Claim);
        true
    }

    /// The record is not this one's: another leads, or the holders can't be had. Returns whether somebody had asked
    /// for a rollout here, which is not begun.
    pub fn give_up(&mut self, now: Micros) -> bool {
        self.claim = None;
        // Who led goes on at once where the record's life alone is over.
        let wait = if self.led { 0 } else { NOT_YET.0 + self.rng.u64(0..COME_FORWARD) };
        self.claim_at = now + Micros(wait);
        self.starting.take().is_some()
    }

    /// The record is claimed under this number.
    pub fn claimed(&mut self, claim: Option<ClaimId>) {
        self.claim = claim;
    }

    /// The record is this one's: what was asked for begins.
    pub fn owns(&mut self, now: Micros, present: &[u16], out: &mut Vec<Telling>) -> Option<Key> {
        let start = self.starting.take()?;
        if self.runs() {
            return None;
        }
        let before = self.order.as_ref();
        let number = before.map_or(0, |order| order.key.number).saturating_add(1);
        let old = before.map_or(&self.base, |order| order.settled()).clone();
        let key = Key { number, confirmed: false, id: self.rng.u64(..) };
        let (terms, new) = (start.terms, start.rules);
        let order = Order { key, stage: 0, paused: (0, false), end: None, terms, old, new };
        self.take(now, &order, present, out);
        Some(key)
    }

    /// People pause it, or let it go on. Returns whether there was anything to do.
    pub fn pause(&mut self, now: Micros, on: bool, present: &[u16], out: &mut Vec<Telling>) -> bool {
        let Some(order) = self.order.as_ref().filter(|o| o.end.is_none() && o.paused.1 != on) else {
            return false;
        };
        let paused = (order.paused.0.saturating_add(1), on);
        self.take(now, &Order { paused, ..order.clone() }, present, out);
        true
    }

    /// People call it off.
    pub fn abort(&mut self, now: Micros, present: &[u16], out: &mut Vec<Telling>) -> bool {
        let Some(order) = self.order.as_ref().filter(|o| o.end.is_none()) else { return false };
        self.take(now, &Order { end: Some(End::Aborted), ..order.clone() }, present, out);
        true
    }

    /// A request ended.
    pub fn count(&mut self, now: Micros, key: Key, class: u16, arm: Arm, ended: Ended, part_of_aim: f64) {
        if self.order.as_ref().is_some_and(|order| order.is(key) && order.end.is_none()) {
            self.tally.count(now, class, arm, ended, part_of_aim);
        }
    }

    /// Takes in an order, and passes on what is new at once.
    /// What is in force elsewhere, or was when this gateway's last process had heard of it.
    pub fn take(&mut self, now: Micros, order: &Order, present: &[u16], out: &mut Vec<Telling>) {
        let before = self.order.clone();
        match &mut self.order {
            Some(own) => {
                if !own.merge(order) {
                    return;
                }
            }
            none => *none = Some(order.clone()),
        }
        let Some(own) = self.order.as_ref() else { return };
        if before.as_ref().is_none_or(|before| !before.is(own.key)) {
            (self.tally, self.rows, self.stage) = (Tally::default(), Rows::default(), None);
            (self.ended_at, self.leader) = (None, None);
        }
        let ended = before.as_ref().filter(|b| b.is(own.key)).and_then(|b| b.end.as_ref());
        match &own.end {
            Some(end) if ended != Some(end) => {
                self.ended_at = Some(now);
                out.push(Telling::Log(Told::Ended(own.key, end.clone())));
                out.extend(self.claim.take().map(Telling::LetGo));
            }
            Some(_) => {}
            None => out.push(Telling::Log(Told::Stage(own.key, own.stage, own.paused.1))),
        }
        out.push(Telling::Routing);
        let message = Message::Order(Box::new(own.clone()), false);
        let others = present.iter().filter(|seat| **seat != self.own);
        out.extend(others.map(|seat| Telling::To(*seat, message.clone())));
    }

    /// Another gateway speaks.
    pub fn hear(
        &mut self,
        now: Micros,
        seat: u16,
        message: Message,
        present: &[u16],
        out: &mut Vec<Telling>,
    ) {
        if usize::from(seat) >= self.seats {
            return;
        }
        self.woke_late(now);
        match message {
            Message::Order(order, leads) if order.is_sound() => {
                let known = self.order.as_ref().is_some_and(|own| own.is(order.key));
                self.take(now, &order, present, out);
                if leads && (known || self.order.as_ref().is_some_and(|own| own.is(order.key))) {
                    self.leader = Some((seat, now));
                }
            }
            Message::Order(..) => self.rows.refused += 1,
            Message::Row(row) => {
                if self.order.as_ref().is_some_and(|own| own.is(row.key)) {
                    self.rows.hear(now, seat, *row, now >= self.prompt_from);
                }
            }
        }
    }

    fn woke_late(&mut self, now: Micros) {
        if now - self.last_tick > TICK + TICK {
            self.prompt_from = now + crate::cluster::rollout::FRESH;
        }
    }

    /// Time went by. `leads`: the rollout's record is surely this one's now. `present`: seats that take part.
    pub fn tick(&mut self, now: Micros, leads: bool, present: &[u16], out: &mut Vec<Telling>) {
        self.woke_late(now);
        self.last_tick = now;
        let Some(order) = self.order.clone() else { return };
        let collectors = collectors(order.key.id, present);
        self.collects = collectors.contains(&self.own);
        if self.ended_at.is_none_or(|at| now - at < AFTER_END) {
            self.send_rows(now, &order, &collectors, out);
        }
        if leads && !self.led {
            out.push(Telling::Log(Told::Leads(order.key)));
        }
        self.led = leads;
        if order.end.is_none() {
            self.judge(now, leads, &order, present, out);
            self.come_forward(now, &collectors, out);
        } else if let Some(claim) = self.claim.take() {
            out.push(Telling::LetGo(claim));
        }
        self.pass_on(leads, present, out);
    }

    /// The own counts go to those who collect, and to the leader.
    fn send_rows(&mut self, now: Micros, order: &Order, collectors: &[u16], out: &mut Vec<Telling>) {
        let leader = self.leader.filter(|(_, at)| now - *at < SILENT).map(|(seat, _)| seat);
        let mut to: Vec<u16> = collectors.iter().copied().chain(leader).chain([self.own]).collect();
        to.sort_unstable();
        to.dedup();
        let cells: Vec<(u16, crate::cluster::rollout::Cell)> =
            self.tally.cells(now).map(|(class, cell)| (class, cell.clone())).collect();
        let parts = cells
            .chunks(crate::cluster::rollout::count_rows::MOST_CELLS)
            .chain(cells.is_empty().then_some(&cells[..]));
        for part in parts {
            self.seq += 1;
            let row = Row {
                key: order.key,
                life: self.life,
                seq: self.seq,
                zone: self.zone.clone(),
                stage: order.stage,
                ended: order.end.is_some(),
                cells: part.to_vec(),
            };
            for seat in &to {
                match *seat == self.own {
                    true => self.rows.hear(now, self.own, row.clone(), true),
                    false => out.push(Telling::To(*seat, Message::Row(Box::new(row.clone())))),
                }
            }
        }
    }

    /// Halts where there is cause; leads on where that is this one's to do.
    fn judge(&mut self, now: Micros, leads: bool, order: &Order, present: &[u16], out: &mut Vec<Telling>) {
        let halt = |why| Order { end: Some(End::Halted(self.own, why)), ..order.clone() };
        if (self.collects || leads) && order.stage > 0 {
            if let Some(why) = halts(&self.rows, &order.terms) {
                let halted = halt(why);
                return self.take(now, &halted, present, out);
            }
        }
        if !leads {
            self.stage = None;
            return;
        }
        if self.stage.as_ref().is_none_or(|(stage, ..)| *stage != order.stage) {
            self.stage = Some((order.stage, now, None));
        }
        let Some((_, since, open)) = self.stage.as_mut() else { return };
        let terms = &order.terms;
        // A pause is nobody's verdict.
        if order.paused.1 {
            *since = now;
            *open = None;
            return;
        }
        let follows = in_force(now, &self.rows, order.stage, self.seats);
        if follows && open.is_none() {
            *open = Some(Open::new(now, &self.rows));
        }
        let seconds = |span: u32| Micros(u64::from(span) * 1_000_000);
        let baked = open.as_ref().filter(|open| follows && now - open.since >= seconds(terms.bake_s));
        let next = match baked {
            _ if order.stage == 0 && follows => {
                let key = Key { confirmed: true, ..order.key };
                Some(Order { key, stage: 1, ..order.clone() })
            }
            Some(_) if terms.is_last(order.stage) => Some(Order { end: Some(End::Done), ..order.clone() }),
            Some(open) if passes(now, &self.rows, open, terms) => {
                Some(Order { stage: order.stage + 1, ..order.clone() })
            }
            _ if now - *since >= seconds(terms.longest_s) => Some(halt(Why::Undecided)),
            _ => None,
        };
        next.into_iter().for_each(|next| self.take(now, &next, present, out));
    }

    /// Claims the record where nobody leads.
    fn come_forward(&mut self, now: Micros, collectors: &[u16], out: &mut Vec<Telling>) {
        let silent = self.leader.is_none_or(|(_, at)| now - at >= SILENT);
        if self.claim.is_some() || self.led || !silent || !collectors.contains(&self.own) {
            return;
        }
        if now >= self.claim_at {
            self.claim_at = now + NOT_YET + Micros(self.rng.u64(0..COME_FORWARD));
            out.push(Telling::Claim);
        }
    }

    /// What is in force goes to some at each tick; from the leader to all, who then know that it leads.
    fn pass_on(&mut self, leads: bool, present: &[u16], out: &mut Vec<Telling>) {
        let Some(order) = &self.order else { return };
        let others: Vec<u16> = present.iter().copied().filter(|seat| *seat != self.own).collect();
        let to = match leads {
            true => others,
            false => self.rng.choose_multiple(others, PASSED_ON),
        };
        let message = Message::Order(Box::new(order.clone()), leads);
        out.extend(to.into_iter().map(|seat| Telling::To(seat, message.clone())));
    }

    /// What operators read; none before the first rollout that was heard of.
    pub fn report(&self, now: Micros) -> Option<Report> {
        let order = self.order.as_ref()?;
        let fresh = self.rows.fresh(now);
        let follows = |heard: &&&crate::cluster::rollout::count_rows::Heard| {
            heard.stage == order.stage && heard.ended == order.end.is_some()
        };
        let mut ends = [[0; 4]; 2];
        for (_, _, heard) in self.rows.lives() {
            for (_, cell) in heard.cells.values() {
                let sums = ends.iter_mut().flatten().zip(cell.ends.iter().flatten());
                sums.for_each(|(sum, n): (&mut u64, &u64)| *sum += n);
            }
        }
        let why = match &order.end {
            Some(End::Halted(seat, Why::Worse { place, log_bet, log_bound })) => Some(format!(
                "seat {seat}: the new arm is worse in {place}: bet {log_bet:.2}, bound {log_bound:.2} (logarithms)"
            )),
            Some(End::Halted(seat, Why::Undecided)) => {
                Some(format!("seat {seat}: not passed within {} s", order.terms.longest_s))
            }
            _ => None,
        };
        Some(Report {
            number: order.key.number,
            confirmed: order.key.confirmed,
            stage: (order.stage, order.terms.stages.len()),
            percent: f64::from(order.share()) / 100.0,
            paused: order.paused.1,
            state: match order.end {
                None => "running",
                Some(End::Done) => "done",
                Some(End::Aborted) => "aborted",
                Some(End::Halted(..)) => "halted",
            },
            why,
            leads: self.led,
            collects: self.collects,
            heard: (fresh.len(), fresh.values().filter(follows).count()),
            ends,
            refused: self.rows.refused,
        })
    }
}

/// Who collects the counts of this rollout, of those present.
fn collectors(id: u64, present: &[u16]) -> Vec<u16> {
    let mut drawn: Vec<(u64, u16)> =
        present.iter().map(|seat| (xxh3_64_with_seed(&seat.to_le_bytes(), id), *seat)).collect();
    drawn.sort_unstable();
    drawn.into_iter().take(COLLECTORS).map(|(_, seat)| seat).collect()
}
