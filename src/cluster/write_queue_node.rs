//! The fleet's branch: its messages go out to the branch's seats, and its record is claimed at the ledger.

use crate::cluster::datagram::{DatagramError, Payload};
use crate::cluster::ledger::{Change, ClaimId, Finding};
use crate::cluster::ledger_node::own_seat;
use crate::cluster::storage::durability_gate::BUSY;
use crate::cluster::storage::persistence::Word;
use crate::cluster::write_queue::{record, Clerk, Dot, End, Entry, Fate, Message, Status, Telling, Write};
use crate::cluster::{ClusterNode, Effect, Micros};

/// Who does not own the branch's record asks for it again after this.
const CLAIM_AGAIN: Micros = Micros(1_000_000);

/// What whoever carries requests has to do for the branch.
#[derive(Debug)]
pub enum Errand {
    /// A write is accepted under this name, or not.
    Accepted(Dot, bool),
    /// Send this write on, in this try; an attempt of an owner before may have run.
    Send(Box<Write>, u16, bool),
    /// A write ended otherwise than done.
    NotDone(Dot, End),
    /// The branch is cut off from now on, or no longer; the last answer came so long ago.
    Cut(bool, Micros),
}

/// The branch as one gateway has it.
pub struct Branch {
    clerk: Clerk,
    claim: Option<ClaimId>,
    claim_at: Micros,
}

impl Branch {
    pub(super) fn new(clerk: Clerk, now: Micros) -> Branch {
        Branch { clerk, claim: None, claim_at: now }
    }
    /// Its clerk.
    pub fn clerk(&self) -> &Clerk {
        &self.clerk
    }
    pub(super) fn await_disk(&mut self) {
        self.clerk.await_disk();
    }
    pub(super) fn remember(&mut self, now: Micros, writes: Vec<Entry>, all: bool) {
        self.clerk.remember(now, writes, all);
    }
    pub(super) fn lose_disk(&mut self, now: Micros, tellings: &mut Vec<Telling>) {
        self.clerk.lose_disk(now, tellings);
    }
    pub(super) fn changed(&mut self) -> Vec<(Dot, Option<Entry>)> {
        self.clerk.take_changed()
    }
}

impl ClusterNode {
    /// The branch, where this gateway is of one.
    pub fn branch(&self) -> Option<&Branch> {
        self.branch.as_ref()
    }

    /// What became of a write.
    pub fn write_status(&self, dot: Dot) -> Option<Status> {
        self.branch.as_ref().map(|branch| branch.clerk.status(dot))
    }

    /// A write is to be accepted; whether it is comes as `Errand::Accepted`. None: it can't be.
    pub fn accept_write(
        &mut self,
        now: Micros,
        of: (u64, u64, u16, u64),
        payload: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Option<Dot> {
        // A disk that is slow must not be given more than it can hold.
        if self.keeping.as_ref().is_some_and(|keeping| keeping.way().waits() > BUSY) {
            return None;
        }
        let mut tellings = Vec::new();
        let dot = self.branch.as_mut()?.clerk.accept(now, of, payload, &mut tellings);
        self.file(tellings, out);
        dot
    }

    /// An attempt outside was answered, or not.
    pub fn saw_outside(&mut self, now: Micros, answered: bool) {
        self.branch.iter_mut().for_each(|branch| branch.clerk.saw(now, answered));
    }

    /// A write that was to be sent on was.
    pub fn write_ended(&mut self, now: Micros, dot: Dot, tries: u16, fate: Fate, out: &mut Vec<Effect>) {
        let mut tellings = Vec::new();
        self.branch.iter_mut().for_each(|b| b.clerk.finished(now, dot, tries, fate, &mut tellings));
        self.file(tellings, out);
    }

    /// A message of the branch from a seat.
    pub(super) fn filing_hear(
        &mut self,
        list: u64,
        seat: u16,
        message: Message,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let (now, mut tellings) = (self.now, Vec::new());
        let same = self.quota_leases.as_ref().is_some_and(|leases| leases.seat_list() == list);
        if self.awaits_disk() {
            return Ok(());
        }
        let branch = self.branch.as_mut().filter(|_| same).ok_or(DatagramError::Rejected)?;
        branch.clerk.hear(now, seat, message, &mut tellings);
        self.file(tellings, out);
        Ok(())
    }

    /// A claim at the ledger found out; whether it was the branch's.
    pub(super) fn filing_found(&mut self, of: ClaimId, finding: &Finding, out: &mut Vec<Effect>) -> bool {
        let now = self.now;
        if self.branch.as_ref().is_none_or(|branch| branch.claim != Some(of)) {
            return false;
        }
        let goes_on = match finding {
            Finding::Clear { .. } => self.change(now, of, Change::Send(0), out).is_some(),
            Finding::Confirmed(_) => true,
            _ => false,
        };
        if let Some(branch) = self.branch.as_mut().filter(|_| !goes_on) {
            (branch.claim, branch.claim_at) = (None, now + CLAIM_AGAIN);
            self.let_go(now, of, None, out);
        }
        true
    }

    /// Time went by for the branch: who has no owner to follow asks for the record while writes wait.
    pub(super) fn tend(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(branch) = self.branch.as_ref().filter(|_| !self.awaits_disk()) else { return };
        let claim = branch.claim.and_then(|of| self.desk.as_ref()?.claim(of).map(|claim| (of, claim)));
        // Nothing is begun so late that the lease would be over before the others have heard of it.
        let leads =
            claim.as_ref().is_some_and(|(_, claim)| claim.is_held(now + self.settings.lease_margin()));
        let acts = claim.as_ref().is_some_and(|(_, claim)| claim.is_held(now));
        let lapsed = claim.as_ref().filter(|(_, c)| c.owns() && !c.may_act(now)).map(|(of, _)| *of);
        // One whose disk takes nothing more leaves it to another.
        let idle = leads && (branch.clerk.shelf().open() == 0 || !branch.clerk.votes());
        let gone = branch.claim.is_some() && claim.is_none();
        let release = lapsed.or(branch.claim.filter(|_| idle || self.left));
        if release.is_some() || gone {
            self.branch.iter_mut().for_each(|b| b.claim = None);
            release.into_iter().for_each(|of| self.let_go(now, of, None, out));
            // A record lives for a while only: who had it takes it anew.
            self.branch.iter_mut().filter(|_| lapsed.is_some()).for_each(|b| b.claim_at = now);
        }
        let wanted = self.branch.as_ref().is_some_and(|b| {
            let clerk = &b.clerk;
            let waits = clerk.shelf().open() > 0 && clerk.votes() && !clerk.is_cut();
            b.claim.is_none() && now >= b.claim_at && waits && !self.left
        });
        if wanted {
            let wait = CLAIM_AGAIN + Micros(self.rng.u64(0..CLAIM_AGAIN.0));
            let group = self.settings.branch.as_ref().map(|terms| terms.seats.clone()).unwrap_or_default();
            let claimed = self.claim_in(now, record(&group), &group, out);
            self.branch.iter_mut().for_each(|b| (b.claim, b.claim_at) = (claimed, now + wait));
        }
        let mut tellings = Vec::new();
        self.branch.iter_mut().for_each(|b| b.clerk.tick(now, leads, acts, &mut tellings));
        self.file(tellings, out);
    }

    pub(super) fn file(&mut self, tellings: Vec<Telling>, out: &mut Vec<Effect>) {
        self.release(tellings.into_iter().map(Word::Branch).collect(), out);
    }

    /// One telling goes out.
    pub(super) fn file_out(&mut self, telling: Telling, out: &mut Vec<Effect>) {
        match telling {
            Telling::To(seat, message) => {
                let Some((list, own)) = own_seat(self) else { return };
                self.send_to_seat(seat, &Payload::WriteQueue { seat_list: list, seat: own, message }, out);
            }
            Telling::Accepted(dot, yes) => out.push(Effect::WriteQueue(Errand::Accepted(dot, yes))),
            Telling::Send(write, tries, before) => {
                let claim = self.branch.as_ref().and_then(|b| b.claim);
                // An owner that was paused sends nothing.
                if claim.is_some_and(|of| self.may_act(self.now, of)) {
                    let write = Box::new(write);
                    out.push(Effect::WriteQueue(Errand::Send(write, tries, before.is_some())));
                } else {
                    self.branch.iter_mut().for_each(|branch| branch.clerk.dropped(write.dot));
                }
            }
            Telling::NotDone(dot, end) => out.push(Effect::WriteQueue(Errand::NotDone(dot, end))),
            Telling::Cut(cut, answered) => out.push(Effect::WriteQueue(Errand::Cut(cut, answered))),
        }
    }
}
