//! A claimant's work at one record: asks for it, and writes it while it is the owner.

use crate::cluster::ledger::{
    waited_out, Ballot, Message, Record, RecordId, Seen, Sent, Terms, MOST_OWNERS, PROMISE, ROUND,
};
use crate::cluster::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Messages to holders, by seat.
pub type Sends = Vec<(u16, Message)>;

/// So often a claimant that others passed asks again by a higher ballot.
const ROUNDS: u32 = 4;
/// A write that is not confirmed is sent again after this.
const AGAIN: Micros = Micros(50_000);
/// An owner acts no more within this part of its lease's end: what it does takes time.
const GUARD: u64 = 10;
/// A lease is renewed when this part of it is over: what is left has room for a second try.
const RENEW: u64 = 2;
/// The most attempts that a record tells of.
const MOST_SENT: usize = 8;

/// What a claimant found out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Finding {
    /// The record is its to write; others may have sent these attempts before, each with its time here. `found`:
    /// there was a record.
    Clear {
        /// There was a record.
        found: bool,
        /// Attempts of earlier owners that may have run: server and time.
        sent: Vec<(u64, Micros)>,
    },
    /// Another owns it, for so long at the most if nothing more is heard of that one.
    Running(Micros),
    /// It is done.
    Answered(Vec<u8>),
    /// The same key with something else.
    Mistake,
    /// More than half of the holders can't be had.
    Unheld,
    /// This write is confirmed by more than half.
    Confirmed(u32),
    /// Another took it over.
    Lost,
}

/// What an owner writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Change {
    /// An attempt is about to be sent to this server.
    Send(u64),
    /// The work is given up: whoever claims it goes on with it.
    Free,
    /// The work is done.
    Answer(Vec<u8>),
    /// Nothing but a longer lease.
    Renew,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Word {
    Promise(Micros, Option<Seen>),
    Passed(Ballot),
    Silent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Asking,
    /// More than half promised; nothing is written yet.
    Clear,
    /// Written, and for all that is known the owner.
    Owner,
    Over,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    id: RecordId,
    terms: Terms,
    /// In the order in which they are asked: first as many as decide, and the others where those are slow.
    holders: Vec<u16>,
    asked: usize,
    ballot: Ballot,
    stage: Stage,
    asked_at: Micros,
    rounds: u32,
    words: BTreeMap<u16, Word>,
    record: Record,
    born: Micros,
    seq: u32,
    /// When it wrote at all, when the last write was first sent, and last.
    first_write: Micros,
    wrote_at: Micros,
    again_at: Micros,
    wrote: BTreeSet<u16>,
    confirmed: u32,
    acts_until: Micros,
    /// Goes to the holders with the first write; whether it did.
    request: Option<Vec<u8>>,
    left: bool,
}

impl Claim {
    /// Asks the holders for a record that is to say this of what its client sent, those that answer soonest first.
    pub fn ask(
        id: RecordId,
        digest: u64,
        ballot: Ballot,
        holders: Vec<u16>,
        terms: Terms,
        now: Micros,
    ) -> (Claim, Sends) {
        let record = Record { digest, lease_ms: (terms.lease.0 / 1000) as u32, ..Record::default() };
        let mut claim = Claim {
            id,
            terms,
            asked: terms.majority().min(holders.len()),
            holders,
            ballot,
            stage: Stage::Asking,
            asked_at: now,
            rounds: 0,
            words: BTreeMap::new(),
            record,
            born: now,
            seq: 0,
            first_write: now,
            wrote_at: now,
            again_at: now,
            wrote: BTreeSet::new(),
            confirmed: 0,
            acts_until: Micros(0),
            request: None,
            left: false,
        };
        let sends = claim.prepare(now);
        (claim, sends)
    }

    fn prepare(&mut self, now: Micros) -> Sends {
        (self.asked_at, self.stage) = (now, Stage::Asking);
        self.words.clear();
        self.holders
            .iter()
            .take(self.asked)
            .map(|seat| (*seat, Message::Prepare(self.id, self.ballot)))
            .collect()
    }

    /// The request is to be left with the holders, so that it can be finished whoever dies.
    pub fn bring(&mut self, request: Vec<u8>) {
        self.request =
            Some(request).filter(|request| request.len() <= crate::cluster::ledger::LONGEST_REQUEST);
    }

    /// Those asked first are slow: asks the others as well.
    pub fn hurry(&mut self, out: &mut Sends) {
        let rest = self.holders.iter().skip(self.asked);
        out.extend(rest.map(|seat| (*seat, Message::Prepare(self.id, self.ballot))));
        self.asked = self.holders.len();
    }

    /// Which record.
    pub fn id(&self) -> RecordId {
        self.id
    }
    /// By which ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }
    /// The record as it was written last, or will be.
    pub fn record(&self) -> &Record {
        &self.record
    }
    /// Nothing more comes of it.
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Over
    }
    /// Its last write was confirmed.
    pub fn is_settled(&self) -> bool {
        self.confirmed == self.seq
    }
    /// It waits for its holders.
    pub fn waits(&self) -> bool {
        self.stage == Stage::Asking || self.stage == Stage::Owner && !self.is_settled()
    }
    /// It has written.
    pub fn owns(&self) -> bool {
        self.stage == Stage::Owner
    }

    /// Whether more than half of the holders have confirmed that this is the owner, for now.
    pub fn is_held(&self, now: Micros) -> bool {
        self.confirmed > 0 && self.may_act(now)
    }

    /// Whether its owner may do something now that others see, held or, where the holders do not answer, without
    /// them. To be asked at the last moment before each such act.
    pub fn may_act(&self, now: Micros) -> bool {
        let until = match self.confirmed {
            // Nobody takes over what was just written, where enough of the holders have it at all.
            0 => self.first_write + self.record.lease(),
            _ => self.acts_until,
        };
        // With its last word it gives up: that word may have come, though no answer to it has.
        self.stage == Stage::Owner && self.record.owned && now + Micros(self.record.lease().0 / GUARD) < until
    }

    /// A holder speaks.
    pub fn hear(&mut self, now: Micros, seat: u16, message: Message, out: &mut Sends) -> Option<Finding> {
        if !self.holders.contains(&seat) || self.stage == Stage::Over {
            return None;
        }
        match (self.stage, message) {
            (Stage::Asking, Message::Taken(_, ballot, seen)) if ballot == self.ballot => {
                self.stage = Stage::Over;
                Some(self.taken(seen))
            }
            (Stage::Asking | Stage::Clear | Stage::Owner, Message::Promise(_, ballot, seen))
                if ballot == self.ballot && now - self.asked_at <= ROUND =>
            {
                self.words.entry(seat).or_insert(Word::Promise(now, seen));
                match self.stage {
                    Stage::Asking => self.weigh(now, out),
                    // One that promised late holds it as well.
                    Stage::Owner => {
                        let write = self.write_to(now, seat);
                        out.extend(write);
                        None
                    }
                    _ => None,
                }
            }
            (Stage::Asking, Message::Passed(_, ballot, by)) if ballot == self.ballot => {
                self.words.insert(seat, Word::Passed(by));
                self.weigh(now, out)
            }
            (Stage::Asking, Message::Silent(_, ballot)) if ballot == self.ballot => {
                self.words.insert(seat, Word::Silent);
                self.weigh(now, out)
            }
            (Stage::Owner, Message::Passed(_, ballot, by)) if ballot == self.ballot && by > ballot => {
                self.words.insert(seat, Word::Passed(by));
                let passed = self.words.values().filter(|w| matches!(w, Word::Passed(_))).count();
                (self.holders.len() - passed < self.terms.majority()).then(|| self.lost())
            }
            (Stage::Owner, Message::Written(_, ballot, seq)) if ballot == self.ballot => {
                if seq != self.seq || self.confirmed == seq {
                    return None;
                }
                self.wrote.insert(seat);
                (self.wrote.len() >= self.terms.majority()).then(|| {
                    self.confirmed = seq;
                    let lease_over = self.wrote_at + self.record.lease();
                    self.acts_until = lease_over.min(self.born + self.terms.life);
                    Finding::Confirmed(seq)
                })
            }
            _ => None,
        }
    }

    fn lost(&mut self) -> Finding {
        self.stage = Stage::Over;
        Finding::Lost
    }

    fn taken(&self, seen: Seen) -> Finding {
        let Seen { record, since, .. } = seen;
        match record.answer {
            _ if record.digest != self.record.digest => Finding::Mistake,
            Some(answer) => Finding::Answered(answer),
            None => Finding::Running(waited_out(Micros(u64::from(record.lease_ms) * 1000)) - since),
        }
    }

    /// Whether what the holders said is enough to go on.
    fn weigh(&mut self, now: Micros, out: &mut Sends) -> Option<Finding> {
        let majority = self.terms.majority();
        let promised = self.words.values().filter(|w| matches!(w, Word::Promise(..))).count();
        if promised >= majority {
            return Some(self.clear());
        }
        let passed = self.words.values().filter_map(|word| match word {
            Word::Passed(by) => Some(by.number),
            _ => None,
        });
        let highest = passed.max();
        let open = self.holders.len() - self.words.len();
        let Some(highest) = highest.filter(|_| self.rounds + 1 < ROUNDS) else {
            if highest.is_some() || promised + open < majority {
                self.stage = Stage::Over;
                return Some(Finding::Unheld);
            }
            let waited_for =
                self.holders.iter().take(self.asked).filter(|seat| !self.words.contains_key(seat));
            if promised + waited_for.count() < majority {
                self.hurry(out);
            }
            return None;
        };
        // At once: whoever is silent may be dead, and one that was passed would promise to a higher ballot.
        self.rounds += 1;
        self.ballot.number = self.ballot.number.max(highest).saturating_add(1);
        out.extend(self.prepare(now));
        None
    }

    /// More than half promised: what the highest ballot wrote goes on.
    fn clear(&mut self) -> Finding {
        let seen = self.words.values().filter_map(|word| match word {
            Word::Promise(_, seen) => seen.as_ref(),
            _ => None,
        });
        let Some(last) = seen.max_by_key(|seen| (seen.ballot, seen.seq)).cloned() else {
            self.stage = Stage::Clear;
            self.born = self.asked_at;
            return Finding::Clear { found: false, sent: Vec::new() };
        };
        if last.record.digest != self.record.digest {
            self.stage = Stage::Over;
            return Finding::Mistake;
        }
        if last.record.fence >= MOST_OWNERS {
            self.stage = Stage::Over;
            return Finding::Unheld;
        }
        self.stage = Stage::Clear;
        self.born = self.asked_at - last.age;
        let time = |sent: &Sent| (sent.server, self.born + Micros(u64::from(sent.at_ms) * 1000));
        let sent = last.record.sent.iter().map(time).collect();
        self.record = Record { lease_ms: self.record.lease_ms, ..last.record };
        Finding::Clear { found: true, sent }
    }

    /// Writes; returns the number of the write, which is not confirmed yet, or none where it may not write.
    pub fn change(&mut self, now: Micros, change: Change, out: &mut Sends) -> Option<u32> {
        match self.stage {
            Stage::Clear if now - self.asked_at > PROMISE - ROUND => return None,
            Stage::Clear => {
                self.record.fence += 1;
                (self.stage, self.first_write) = (Stage::Owner, now);
                if let Some(request) = self.request.take() {
                    let (id, ballot) = (self.id, self.ballot);
                    self.left = true;
                    let promised = self.words.iter().filter(|(_, word)| matches!(word, Word::Promise(..)));
                    out.extend(
                        promised.map(|(seat, _)| (*seat, Message::Request(id, ballot, request.clone()))),
                    );
                }
            }
            Stage::Owner => {}
            Stage::Asking | Stage::Over => return None,
        }
        self.record.owned = matches!(change, Change::Send(_) | Change::Renew);
        match change {
            Change::Send(server) => {
                let at_ms = ((now - self.born).0 / 1000).min(u64::from(u32::MAX)) as u32;
                if self.record.sent.len() >= MOST_SENT {
                    return None;
                }
                self.record.sent.push(Sent { server, at_ms });
            }
            Change::Answer(answer) => {
                self.record.answer = Some(answer);
                if !self.record.is_sound() {
                    // Too long to be kept: whoever comes again asks a server, if that may be.
                    self.record.answer = None;
                }
            }
            Change::Free | Change::Renew => {}
        }
        // As many as decide are enough; where one of them is silent, the others are told with the next beat. Whoever
        // was left the request has to hear that it is done with.
        let quick = match self.is_settled() && self.seq > 0 && (self.record.owned || !self.left) {
            true => self.wrote.iter().copied().take(self.terms.majority()).collect(),
            false => self.holders.clone(),
        };
        self.seq += 1;
        (self.wrote_at, self.again_at) = (now, now);
        self.wrote.clear();
        out.extend(quick.into_iter().filter_map(|seat| self.write_to(now, seat)));
        Some(self.seq)
    }

    /// An attempt at this server surely never ran; told with the next write.
    pub fn never_ran(&mut self, server: u64) {
        if let Some(place) = self.record.sent.iter().rposition(|sent| sent.server == server) {
            self.record.sent.remove(place);
        }
    }

    fn write_to(&self, now: Micros, seat: u16) -> Option<(u16, Message)> {
        let Some(Word::Promise(at, _)) = self.words.get(&seat) else { return None };
        let (id, ballot, seq, record) = (self.id, self.ballot, self.seq, self.record.clone());
        let (held, age) = (now - *at, now - self.born);
        Some((seat, Message::Write { id, ballot, seq, held, age, record }))
    }

    /// Time went by for a claim that too few have answered, or whose question or answers were lost: asks all anew by a
    /// higher ballot, as a late promise does not count, and gives up after some rounds.
    pub fn press(&mut self, now: Micros, out: &mut Sends) -> Option<Finding> {
        if self.stage != Stage::Asking || now - self.asked_at <= ROUND {
            return None;
        }
        if self.rounds + 1 >= ROUNDS {
            self.stage = Stage::Over;
            return Some(Finding::Unheld);
        }
        self.rounds += 1;
        self.ballot.number = self.ballot.number.saturating_add(1);
        self.asked = self.holders.len();
        out.extend(self.prepare(now));
        None
    }

    /// Time went by: sends again what is not confirmed, and renews the lease of an owner that works.
    pub fn beat(&mut self, now: Micros, out: &mut Sends) {
        if self.stage != Stage::Owner {
            return;
        }
        if self.confirmed < self.seq {
            if now - self.again_at >= AGAIN {
                self.again_at = now;
                if now - self.asked_at <= ROUND {
                    self.hurry(out);
                }
                let silent = self.holders.iter().filter(|seat| !self.wrote.contains(seat));
                out.extend(silent.filter_map(|seat| self.write_to(now, *seat)));
            }
        } else if self.record.owned && now - self.wrote_at >= Micros(self.record.lease().0 / RENEW) {
            self.change(now, Change::Renew, out);
        }
    }
}
