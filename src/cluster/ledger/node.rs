//! All that a gateway does at the ledger: its claims, and the records that it holds for others.

use crate::cluster::ledger::{
    holders, holders_among, Ballot, Change, Claim, Finding, Holder, Message, RecordId, Sends, Terms,
};
use crate::cluster::Micros;
use std::collections::BTreeMap;

/// A claim of this process.
pub type ClaimId = u64;

/// The most claims at one time; beyond that work goes on unprotected.
pub const MOST_CLAIMS: usize = 10_000;
/// A claim that its work has let go of waits for so long for the word of its holders.
const LET_GO: Micros = Micros(500_000);
/// So many seats make a group of their own: one of them may be dead.
const LEAST_GROUP: usize = 3;
/// Between two looks for what is forgotten.
const SWEEP: Micros = Micros(500_000);
/// Between two looks for requests that nobody has in hand.
const LOOK: Micros = Micros(100_000);

/// What the desk wants done.
#[derive(Debug)]
pub enum Out {
    /// Send this to a seat.
    To(u16, Message),
    /// A claim found out.
    Found(ClaimId, Finding),
    /// A request whose owner is gone and whose client did not come again may be finished here.
    Orphan(Orphan),
}

/// A request that its owner left with the holders of its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Orphan {
    /// Its record.
    pub id: RecordId,
    /// What stands for what its client sent.
    pub digest: u64,
    /// The request.
    pub request: Vec<u8>,
}

/// How claims ended, and how many there are.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Tallies {
    /// Claims made.
    pub claims: u64,
    /// Records that were clear, and of them such that an earlier owner left.
    pub clear: u64,
    /// Of them: taken over.
    pub taken_over: u64,
    /// Found in work at another gateway.
    pub running: u64,
    /// Found answered.
    pub answered: u64,
    /// Found with another request under the same key.
    pub mistakes: u64,
    /// Not held, as more than half of the holders could not be had.
    pub unheld: u64,
    /// Lost to another owner.
    pub lost: u64,
    /// Work that went on without a record, as its holders did not confirm it in time.
    pub unprotected: u64,
    /// Requests of owners that are gone, offered to be finished here.
    pub orphans: u64,
}

struct Open {
    claim: Claim,
    /// Its work has let go of it, then.
    let_go: Option<Micros>,
}

/// The desk.
pub struct Desk {
    terms: Terms,
    own: u16,
    seats: usize,
    list: u64,
    life: u64,
    holder: Holder,
    claims: BTreeMap<ClaimId, Open>,
    last: ClaimId,
    sweep_at: Micros,
    look_at: Micros,
    /// How claims ended.
    pub tallies: Tallies,
}

impl Desk {
    /// For the gateway in this seat of so many; `list` stands for the list of seats, `life` is drawn at random.
    pub fn new(terms: Terms, own: u16, seats: usize, list: u64, life: u64, now: Micros) -> Desk {
        Desk {
            terms,
            own,
            seats,
            list,
            life,
            holder: Holder::new(terms, now),
            claims: BTreeMap::new(),
            last: 0,
            sweep_at: now,
            look_at: now,
            tallies: Tallies::default(),
        }
    }

    /// The records that it holds for others.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
    /// The same, to be told of its disk.
    pub fn holder_mut(&mut self) -> &mut Holder {
        &mut self.holder
    }
    /// How many claims are open.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// An open claim.
    pub fn claim(&self, of: ClaimId) -> Option<&Claim> {
        self.claims.get(&of).map(|open| &open.claim)
    }

    /// Claims a record; none where there are too many claims. `reachable` says which seats are worth asking.
    pub fn open(
        &mut self,
        now: Micros,
        id: RecordId,
        digest: u64,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<Out>,
    ) -> Option<ClaimId> {
        let drawn = holders(id, self.list, self.seats, self.terms.holders);
        self.claim_of(now, (id, digest), drawn, reachable, out)
    }

    /// Claims a record that a group of the seats holds: it can be had where most of the group are, whoever else is cut
    /// off. A group of fewer than three is none: the whole fleet holds the record.
    pub fn open_in(
        &mut self,
        now: Micros,
        (id, group): (RecordId, &[u16]),
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<Out>,
    ) -> Option<ClaimId> {
        let count = if group.len() < self.terms.holders { LEAST_GROUP } else { self.terms.holders };
        if group.len() < LEAST_GROUP {
            return self.open(now, id, 0, reachable, out);
        }
        let drawn = holders_among(id, self.list, group.iter().copied(), count);
        self.claim_of(now, (id, 0), drawn, reachable, out)
    }

    fn claim_of(
        &mut self,
        now: Micros,
        (id, digest): (RecordId, u64),
        mut drawn: Vec<u16>,
        reachable: impl Fn(u16) -> bool,
        out: &mut Vec<Out>,
    ) -> Option<ClaimId> {
        if self.claims.len() >= MOST_CLAIMS {
            return None;
        }
        self.last += 1;
        self.tallies.claims += 1;
        let ballot = Ballot { number: 1, life: self.life, claim: self.last };
        let near = |seat: u16| if seat == self.own { 0 } else { 1 + u8::from(!reachable(seat)) };
        drawn.sort_by_key(|seat| near(*seat));
        let terms = Terms { holders: drawn.len(), ..self.terms };
        let away: Vec<u16> = drawn.iter().copied().filter(|seat| near(*seat) > 1).collect();
        let (claim, sends) = Claim::ask(id, digest, ballot, drawn, terms, now);
        self.claims.insert(self.last, Open { claim, let_go: None });
        let claim = self.last;
        self.deliver(now, sends.into_iter().filter(|(seat, _)| !away.contains(seat)).collect(), out);
        for seat in away {
            self.hear(now, seat, Message::Silent(id, ballot), out);
        }
        Some(claim)
    }

    /// The request is to be left with the holders of its record.
    pub fn bring(&mut self, of: ClaimId, request: Vec<u8>) {
        self.claims.get_mut(&of).into_iter().for_each(|open| open.claim.bring(request.clone()));
    }

    /// The holders that a claim asked are slow: the others are asked as well.
    pub fn hurry(&mut self, now: Micros, of: ClaimId, out: &mut Vec<Out>) {
        let mut sends = Sends::new();
        let waits = self.claims.get_mut(&of).filter(|open| open.claim.waits());
        waits.into_iter().for_each(|open| open.claim.hurry(&mut sends));
        self.deliver(now, sends, out);
    }

    /// Writes a claim's record. Returns the number of the write, or none where it may not.
    pub fn change(&mut self, now: Micros, of: ClaimId, change: Change, out: &mut Vec<Out>) -> Option<u32> {
        let mut sends = Sends::new();
        let number = self.claims.get_mut(&of)?.claim.change(now, change, &mut sends);
        self.deliver(now, sends, out);
        number
    }

    /// An attempt at this server surely never ran.
    pub fn never_ran(&mut self, of: ClaimId, server: u64) {
        self.claims.get_mut(&of).into_iter().for_each(|open| open.claim.never_ran(server));
    }

    /// Whether a claim's owner may act now.
    pub fn may_act(&self, now: Micros, of: ClaimId) -> bool {
        self.claims.get(&of).is_some_and(|open| open.claim.may_act(now))
    }

    /// The work of a claim is over here, with its answer or without: others may go on with it.
    pub fn let_go(&mut self, now: Micros, of: ClaimId, answer: Option<Vec<u8>>, out: &mut Vec<Out>) {
        let Some(open) = self.claims.get(&of) else { return };
        if !open.claim.owns() {
            self.claims.remove(&of);
            return;
        }
        self.change(now, of, answer.map_or(Change::Free, Change::Answer), out);
        self.claims.get_mut(&of).into_iter().for_each(|open| open.let_go = Some(now));
    }

    /// A message came from a seat.
    pub fn hear(&mut self, now: Micros, from: u16, message: Message, out: &mut Vec<Out>) {
        if usize::from(from) >= self.seats {
            return;
        }
        if message.is_asked() {
            if let Some(answer) = self.holder.hear(now, message) {
                match from == self.own {
                    true => self.hear(now, from, answer, out),
                    false => out.push(Out::To(from, answer)),
                }
            }
            return;
        }
        let ballot = match &message {
            Message::Promise(_, b, _) | Message::Taken(_, b, _) | Message::Passed(_, b, _) => b,
            Message::Silent(_, b) | Message::Written(_, b, _) => b,
            Message::Prepare(..) | Message::Write { .. } | Message::Request(..) => return,
        };
        if ballot.life != self.life {
            return;
        }
        let of = ballot.claim;
        let Some(open) = self.claims.get_mut(&of) else { return };
        let mut sends = Sends::new();
        let id = open.claim.id();
        let finding = open.claim.hear(now, from, message, &mut sends);
        let gone = open.let_go.is_some() && (open.claim.is_settled() || open.claim.is_over());
        if gone || open.claim.is_over() {
            self.claims.remove(&of);
        }
        if let Some(finding) = finding {
            if matches!(finding, Finding::Answered(_)) {
                self.holder.is_done(id);
            }
            self.tally(&finding);
            out.push(Out::Found(of, finding));
        }
        self.deliver(now, sends, out);
    }

    fn tally(&mut self, finding: &Finding) {
        let t = &mut self.tallies;
        match finding {
            Finding::Clear { found, .. } => {
                t.clear += 1;
                t.taken_over += u64::from(*found);
            }
            Finding::Running(_) => t.running += 1,
            Finding::Answered(_) => t.answered += 1,
            Finding::Mistake => t.mistakes += 1,
            Finding::Unheld => t.unheld += 1,
            Finding::Lost => t.lost += 1,
            Finding::Confirmed(_) => {}
        }
    }

    fn deliver(&mut self, now: Micros, sends: Sends, out: &mut Vec<Out>) {
        for (seat, message) in sends {
            match seat == self.own {
                true => self.hear(now, seat, message, out),
                false => out.push(Out::To(seat, message)),
            }
        }
    }

    /// Time went by.
    pub fn beat(&mut self, now: Micros, out: &mut Vec<Out>) {
        let mut sends = Sends::new();
        let mut unheld = Vec::new();
        for (of, open) in &mut self.claims {
            open.claim.beat(now, &mut sends);
            unheld.extend(open.claim.press(now, &mut sends).map(|finding| (*of, finding)));
        }
        self.claims.retain(|_, open| !open.claim.is_over() && open.let_go.is_none_or(|at| now - at < LET_GO));
        for (of, finding) in unheld {
            self.tally(&finding);
            out.push(Out::Found(of, finding));
        }
        self.deliver(now, sends, out);
        if now >= self.look_at {
            self.look_at = now + LOOK;
            let (own, list, seats, count) = (self.own, self.list, self.seats, self.terms.holders);
            let place =
                |id| holders(id, list, seats, count).iter().position(|seat| *seat == own).unwrap_or(count);
            for (id, digest, request) in self.holder.orphans(now, place) {
                self.tallies.orphans += 1;
                out.push(Out::Orphan(Orphan { id, digest, request }));
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP;
            self.holder.sweep(now);
        }
    }
}
