//! The seats of the fleet: asks members for their words, answers them, and says what follows: the agreement on
//! the view, and the shares.

pub(in crate::cluster) mod seat_lease;
pub(in crate::cluster) mod view;
pub(in crate::cluster) mod view_gossip;
use crate::cluster::{MemberRecord, MemberState, Micros};
use seat_lease::{Custody, Occupant, QuotaShares};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use view::{life, MAX_SEATS};
use view_gossip::{Census, Table};
use xxhash_rust::xxh3::xxh3_64;

/// Between two questions to members drawn at random: twenty in the time that a word counts.
const ASK: Micros = Micros(500_000);
/// Questions whose answers are still waited for.
const OUT: usize = 16;

/// Whether the fleet is of one mind, as far as this member can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Agreement {
    /// More than half of all seats, and every one that is held, say the same.
    Agreed,
    /// More than half are heard, and not all say the same yet.
    Converging,
    /// More than half are of one mind or nearly, and a fifth or more is silent without a word: dead, or cut off.
    Majority,
    /// Fewer than half are heard.
    Minority,
    /// Exactly half are heard.
    Even,
}

/// The seats, as one member keeps them.
pub struct QuotaLeases {
    names: BTreeMap<String, usize>,
    own: usize,
    /// What stands for the list of seats on the wire.
    list: u64,
    census: Census,
    custody: Custody,
    ask_at: Micros,
    out: VecDeque<(u64, Micros)>,
    told: Option<QuotaShares>,
    /// Questions and answers of members that have another list of seats.
    pub differing: u64,
}

/// What operators read of it.
#[derive(Debug, Clone, Serialize)]
pub struct ViewReport {
    /// The view's number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Whether the fleet is of one mind.
    pub agreement: Agreement,
    /// Seats that say exactly this, that are heard at all, and that there are.
    pub holding: (usize, usize, usize),
    /// For how long the own share is whole from now, in milliseconds; 0: it is cut to what is never lent.
    pub share_for_ms: u64,
    /// Seats whose shares are shared out.
    pub away: Vec<u32>,
    /// Questions and answers of members that have another list of seats.
    pub differing: u64,
}

impl QuotaLeases {
    /// The seats in the order of the gateways' numbers, for the gateway of this name.
    pub fn new(seats: &[String], name: &str, now: Micros, random: u64) -> Option<QuotaLeases> {
        let own = seats.iter().position(|seat| seat == name).filter(|_| seats.len() <= MAX_SEATS)?;
        Some(QuotaLeases {
            names: seats.iter().cloned().enumerate().map(|(number, seat)| (seat, number)).collect(),
            own,
            list: xxh3_64(seats.join("\n").as_bytes()),
            census: Census::new(seats.len()),
            custody: Custody::new(own, seats.len(), now),
            ask_at: now + Micros(random % ASK.0),
            out: VecDeque::new(),
            told: None,
            differing: 0,
        })
    }

    /// This gateway's seat, and how many there are.
    pub fn seat(&self) -> (usize, usize) {
        (self.own, self.names.len())
    }

    /// What stands for the list of seats.
    pub fn seat_list(&self) -> u64 {
        self.list
    }

    /// Brings the own word to what is known of the members.
    pub fn update(
        &mut self,
        now: Micros,
        own_incarnation: u64,
        records: &BTreeMap<std::rc::Rc<str>, MemberRecord>,
    ) {
        let mut occupants = vec![Occupant::Absent; self.names.len()];
        for record in records.values().filter(|r| r.state.is_present()) {
            if let Some(&seat) = self.names.get(&*record.identity.name) {
                occupants[seat] = Occupant::Present(life(record.identity.incarnation));
            }
        }
        occupants[self.own] = Occupant::Present(life(own_incarnation));
        if let Some(number) = self.census.same_higher(&self.custody.view) {
            self.custody.view.number = number;
        }
        let occupant = |seat: usize| occupants.get(seat).copied().unwrap_or(Occupant::Absent);
        self.custody.update(now, occupant, self.census.highest());
        if self.custody.speaks(now) {
            self.census.say(self.own, &self.custody.view, now);
        }
    }

    /// A question, if it is time for one: its token.
    pub fn ask(&mut self, now: Micros, random: u64) -> Option<u64> {
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + Micros(ASK.0 / 2 + random % ASK.0);
        if self.out.len() >= OUT {
            self.out.pop_front();
        }
        self.out.push_back((random, now));
        Some(random)
    }

    /// The answer to a question of a member with this list of seats.
    pub fn answer(&mut self, list: u64, now: Micros) -> Option<Table> {
        if list != self.list {
            self.differing += 1;
            return None;
        }
        Some(self.census.table(now, &self.custody.view))
    }

    /// An answer came. Returns whether it was asked for and made sense.
    pub fn learn(&mut self, list: u64, token: u64, table: &Table) -> bool {
        let Some(place) = self.out.iter().position(|(t, _)| *t == token) else { return false };
        let Some((_, asked)) = self.out.remove(place) else { return false };
        if list != self.list {
            self.differing += 1;
            return true;
        }
        self.census.learn(table, asked, self.own)
    }

    /// The shares, where they are not as they were told last.
    pub fn news(&mut self, now: Micros, own_incarnation: u64) -> Option<QuotaShares> {
        let shares = self.custody.shares(&self.census, own_incarnation, now);
        (self.told.as_ref() != Some(&shares)).then(|| {
            self.told = Some(shares.clone());
            shares
        })
    }

    /// Whether the fleet is of one mind.
    fn agreement(&self, now: Micros, records: &BTreeMap<std::rc::Rc<str>, MemberRecord>) -> Agreement {
        let state = |seat: &String| records.get(seat.as_str()).map(|r| r.state);
        let count = |s: MemberState| self.names.keys().filter(|seat| state(seat) == Some(s)).count();
        // Those that left by word are missed by nobody.
        let base = self.names.len() - count(MemberState::Left);
        let heard = self.census.heard(now);
        let holding = self.census.holding(self.custody.view.digest(), now);
        match () {
            () if heard * 2 < base => Agreement::Minority,
            () if heard * 2 == base => Agreement::Even,
            () if count(MemberState::Down) * 5 >= base => Agreement::Majority,
            () if holding * 2 > self.names.len() && holding >= self.custody.view.held() => Agreement::Agreed,
            () => Agreement::Converging,
        }
    }

    /// What operators read.
    pub fn report(
        &self,
        now: Micros,
        own_incarnation: u64,
        records: &BTreeMap<std::rc::Rc<str>, MemberRecord>,
    ) -> ViewReport {
        let (view, shares) = (&self.custody.view, self.custody.shares(&self.census, own_incarnation, now));
        let digest = view.digest();
        ViewReport {
            number: view.number,
            digest: format!("{digest:016x}"),
            agreement: self.agreement(now, records),
            holding: (self.census.holding(digest, now), self.census.heard(now), self.names.len()),
            share_for_ms: (shares.until - now).0 / 1000,
            away: shares.free_seats,
            differing: self.differing,
        }
    }
}
