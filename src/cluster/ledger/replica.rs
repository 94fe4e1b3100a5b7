//! A holder: what it promised, what was written here, and when it forgets.

use crate::cluster::ledger::{
    waited_out, Ballot, Message, Record, RecordId, Seen, Terms, LONGEST_REQUEST, PROMISE, ROUND,
};
use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most records that a holder keeps, and the most of one customer's.
pub const MOST_RECORDS: usize = 20_000;
/// One customer holds no more than this part of them.
pub const MOST_OF_ONE: usize = MOST_RECORDS / 8;
/// The most bytes of records that a holder keeps.
pub const MOST_BYTES: usize = 4 << 20;

/// What was written of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Written {
    ballot: Ballot,
    seq: u32,
    record: Record,
    /// When it was written last.
    at: Micros,
    /// When the record began, by the age that came with it.
    born: Micros,
}

/// All that a holder keeps of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    promised: Ballot,
    promised_at: Micros,
    written: Option<Written>,
    /// The request, where its owner wants it finished whatever happens, and when it was last offered to be.
    request: Option<Vec<u8>>,
    offered: Option<Micros>,
}

impl Entry {
    fn weight(&self) -> usize {
        let written = self.written.as_ref().map_or(0, |w| weight(&w.record));
        written + self.request.as_ref().map_or(0, Vec::len)
    }

    /// The same with its times told by another clock.
    pub fn timed(mut self, told: impl Fn(Micros) -> Micros) -> Entry {
        self.promised_at = told(self.promised_at);
        self.offered = self.offered.map(&told);
        if let Some(written) = self.written.as_mut() {
            (written.at, written.born) = (told(written.at), told(written.born));
        }
        self
    }
}

/// What a holder refused, by why.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Refusals {
    /// It had no vote yet.
    pub mute: u64,
    /// It had no room, or the customer had too much of it.
    pub full: u64,
    /// A write came too late.
    pub late: u64,
    /// A write without a promise, or of a record that no claimant may write.
    pub unfit: u64,
}

/// The records that this gateway holds for others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    votes_from: Micros,
    entries: BTreeMap<RecordId, Entry>,
    of_customer: BTreeMap<u64, usize>,
    bytes: usize,
    /// What has changed since it was last asked for, where somebody asks.
    changed: Option<BTreeSet<RecordId>>,
    /// What it refused.
    pub refusals: Refusals,
}

/// A client of a gateway that died has so long to come again before others finish its request.
const COME_AGAIN: Micros = Micros(300_000);
/// The next holder of a record waits so much longer than the one before.
const TURN: Micros = Micros(400_000);
/// What was offered to be finished is offered again after this.
const OFFER_AGAIN: Micros = Micros(1_500_000);
/// Nothing is begun so late in a record's life.
const FINISH: Micros = Micros(500_000);

/// It has no vote, whatever time it is.
const NEVER: Micros = Micros(u64::MAX);

fn weight(record: &Record) -> usize {
    64 + record.sent.len() * 16 + record.answer.as_ref().map_or(0, Vec::len)
}

impl Holder {
    /// A holder that starts now and remembers nothing.
    pub fn new(terms: Terms, now: Micros) -> Holder {
        Holder {
            terms,
            votes_from: now + terms.mute(),
            entries: BTreeMap::new(),
            of_customer: BTreeMap::new(),
            bytes: 0,
            changed: None,
            refusals: Refusals::default(),
        }
    }

    /// It has no vote until its disk is read, and notes what changes from then on.
    pub fn await_disk(&mut self) {
        (self.votes_from, self.changed) = (NEVER, Some(BTreeSet::new()));
    }
    /// Its disk is read and held this. `all`: it is all that an earlier life of it said, so that it has its vote at
    /// once; else as one that starts.
    pub fn remember(&mut self, now: Micros, entries: Vec<(RecordId, Entry)>, all: bool) {
        self.votes_from = if all { now } else { now + self.terms.mute() };
        for (id, entry) in entries {
            self.bytes += entry.weight();
            if self.entries.insert(id, entry).is_none() {
                *self.of_customer.entry(id.customer).or_default() += 1;
            }
        }
    }
    /// Its disk takes nothing more: it gives up its vote.
    pub fn lose_disk(&mut self) {
        (self.votes_from, self.changed) = (NEVER, None);
    }
    /// What has changed since this was last called, and what is kept of it now.
    pub fn take_changed(&mut self) -> Vec<(RecordId, Option<Entry>)> {
        let changed = self.changed.as_mut().map(std::mem::take).unwrap_or_default();
        changed.into_iter().map(|id| (id, self.entries.get(&id).cloned())).collect()
    }
    fn change(&mut self, id: RecordId) {
        self.changed.iter_mut().for_each(|changed| changed.extend([id]));
    }

    /// Whether it has a vote.
    pub fn votes(&self, now: Micros) -> bool {
        now >= self.votes_from
    }
    /// How many records it keeps, promises alone among them.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    /// Whether it keeps none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers a claimant. Messages that are for claimants get no answer.
    pub fn hear(&mut self, now: Micros, message: Message) -> Option<Message> {
        match message {
            Message::Prepare(id, ballot) | Message::Write { id, ballot, .. } if !self.votes(now) => {
                self.refusals.mute += 1;
                Some(Message::Silent(id, ballot))
            }
            Message::Request(id, ballot, request) => {
                self.keep_request(id, ballot, request);
                None
            }
            Message::Prepare(id, ballot) => Some(self.prepare(now, id, ballot)),
            Message::Write { id, ballot, seq, held, age, record } => {
                let written = Written { ballot, seq, record, at: now, born: now - age };
                self.write(now, id, written, held, age)
            }
            _ => None,
        }
    }

    fn prepare(&mut self, now: Micros, id: RecordId, ballot: Ballot) -> Message {
        let Some(entry) = self.entries.get_mut(&id) else {
            let of_one = self.of_customer.get(&id.customer).copied().unwrap_or(0);
            if self.entries.len() >= MOST_RECORDS || of_one >= MOST_OF_ONE {
                self.refusals.full += 1;
                return Message::Silent(id, ballot);
            }
            let (promised, promised_at) = (ballot, now);
            let entry = Entry { promised, promised_at, written: None, request: None, offered: None };
            self.entries.insert(id, entry);
            self.change(id);
            *self.of_customer.entry(id.customer).or_default() += 1;
            return Message::Promise(id, ballot, None);
        };
        let lives = |w: &&Written| now - w.born < self.terms.life;
        let seen = entry.written.as_ref().filter(lives).map(|w| Seen {
            ballot: w.ballot,
            seq: w.seq,
            record: w.record.clone(),
            age: now - w.born,
            since: now - w.at,
        });
        // Whoever only asks must not be in the way of an owner that works.
        if let Some(seen) = seen.as_ref().filter(|s| s.record.is_taken(s.since)) {
            return Message::Taken(id, ballot, seen.clone());
        }
        if ballot < entry.promised {
            return Message::Passed(id, ballot, entry.promised);
        }
        if ballot > entry.promised {
            (entry.promised, entry.promised_at) = (ballot, now);
            self.change(id);
        }
        Message::Promise(id, ballot, seen)
    }

    fn write(
        &mut self,
        now: Micros,
        id: RecordId,
        mut new: Written,
        held: Micros,
        age: Micros,
    ) -> Option<Message> {
        if !new.record.is_sound() || age >= self.terms.life {
            self.refusals.unfit += 1;
            return None;
        }
        let (ballot, seq) = (new.ballot, new.seq);
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.promised <= ballot) else {
            let promised = self.entries.get(&id).map(|e| e.promised);
            self.refusals.unfit += u64::from(promised.is_none());
            return promised.map(|promised| Message::Passed(id, ballot, promised));
        };
        // Only who has this holder's promise writes here.
        if entry.promised != ballot {
            self.refusals.unfit += 1;
            return None;
        }
        match entry.written.as_ref().filter(|w| w.ballot == ballot) {
            Some(last) if seq < last.seq => return None,
            // A second copy changes nothing, least of all when it was written.
            Some(last) if seq == last.seq => return Some(Message::Written(id, ballot, seq)),
            // A later write that sat in a buffer must not make the record younger.
            Some(last) => new.born = new.born.min(last.born),
            None => {
                let waited = now - entry.promised_at;
                if waited > PROMISE || waited - held > ROUND {
                    self.refusals.late += 1;
                    return None;
                }
            }
        }
        let before = entry.weight();
        if new.record.answer.is_some() {
            entry.request = None;
        }
        let request = entry.request.as_ref().map_or(0, Vec::len);
        let bytes = self.bytes - before + weight(&new.record) + request;
        if bytes > MOST_BYTES {
            self.refusals.full += 1;
            return Some(Message::Silent(id, ballot));
        }
        self.bytes = bytes;
        entry.written = Some(new);
        self.change(id);
        Some(Message::Written(id, ballot, seq))
    }

    /// Only who may write here leaves its request.
    fn keep_request(&mut self, id: RecordId, ballot: Ballot, request: Vec<u8>) {
        let room = self.votes_from != NEVER && self.bytes + request.len() <= MOST_BYTES;
        let fits = request.len() <= LONGEST_REQUEST;
        let entry =
            self.entries.get_mut(&id).filter(|entry| entry.promised == ballot && entry.request.is_none());
        let done = |entry: &Entry| entry.written.as_ref().is_some_and(|w| w.record.answer.is_some());
        let Some(entry) = entry.filter(|entry| !done(entry) && room && fits) else { return };
        self.bytes += request.len();
        entry.request = Some(request);
        self.change(id);
    }

    /// A record was found answered elsewhere: its request needs nobody to finish it.
    pub fn is_done(&mut self, id: RecordId) {
        if let Some(request) = self.entries.get_mut(&id).and_then(|entry| entry.request.take()) {
            self.bytes -= request.len();
            self.change(id);
        }
    }

    /// Requests whose owner's lease is over for some time, without an answer and without a word that it gave up: its
    /// client had that time to come again. `place` is this holder's among the record's; each later one waits longer, so
    /// that one of them goes on with it. Each is offered again after a while, as who was to finish it may have died too.
    pub fn orphans(
        &mut self,
        now: Micros,
        place: impl Fn(RecordId) -> usize,
    ) -> Vec<(RecordId, u64, Vec<u8>)> {
        let (life, votes) = (self.terms.life, self.votes(now));
        let mut orphans = Vec::new();
        for (id, entry) in self.entries.iter_mut().filter(|_| votes) {
            let (Some(written), Some(request)) = (&entry.written, &entry.request) else { continue };
            let record = &written.record;
            if !record.owned || record.is_taken(now - written.at) {
                continue;
            }
            let patience = waited_out(record.lease()) + COME_AGAIN + Micros(TURN.0 * place(*id) as u64);
            let due = now - written.at >= patience && now - written.born + FINISH < life;
            let offered = entry.offered.is_some_and(|at| now - at < OFFER_AGAIN);
            if due && !offered {
                entry.offered = Some(now);
                orphans.push((*id, record.digest, request.clone()));
            }
        }
        orphans
    }

    /// Forgets what nobody can need: promises that nothing was written on, and records whose life is so long over
    /// that no holder takes them for alive.
    pub fn sweep(&mut self, now: Micros) {
        let over = self.terms.life + self.terms.afterlife();
        let (bytes, of_customer) = (&mut self.bytes, &mut self.of_customer);
        let changed = &mut self.changed;
        self.entries.retain(|id, entry| {
            let promise = now - entry.promised_at <= PROMISE + ROUND + ROUND;
            let stays = promise || entry.written.as_ref().is_some_and(|w| now - w.born <= over);
            if !stays {
                changed.iter_mut().for_each(|changed| changed.extend([*id]));
                *bytes -= entry.weight();
                if let Some(count) = of_customer.get_mut(&id.customer) {
                    *count -= 1;
                    if *count == 0 {
                        of_customer.remove(&id.customer);
                    }
                }
            }
            stays
        });
    }
}
