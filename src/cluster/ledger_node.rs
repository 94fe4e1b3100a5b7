//! The fleet's ledger: claims of this gateway go out to the seats that hold a record, and what they say comes in.

use crate::cluster::datagram::{self, DatagramError, Payload};
use crate::cluster::ledger::{Change, ClaimId, Desk, Message, Out, RecordId};
use crate::cluster::membership::identity::{Identity, CAPABILITY_LEDGER};
use crate::cluster::membership::swim::Swim;
use crate::cluster::storage::persistence::Word;
use crate::cluster::{ClusterNode, Effect, Micros};
use std::net::SocketAddr;

/// How often the ledger is to be called.
pub const LEDGER_TICK_INTERVAL: Micros = Micros(20_000);

impl ClusterNode {
    /// The ledger, where there is one.
    pub fn desk(&self) -> Option<&Desk> {
        self.desk.as_ref()
    }

    /// Claims a record for a request of which this stands for what its client sent. None where there is no ledger,
    /// or too much is claimed.
    pub fn claim(
        &mut self,
        now: Micros,
        id: RecordId,
        digest: u64,
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim) = (&self.settings.seats, &self.swim);
        let mut outs = Vec::new();
        let reachable = |seat| can_hold(seats, swim, seat);
        let claimed = self.desk.as_mut()?.open(now, id, digest, reachable, &mut outs);
        self.book(outs, out);
        claimed
    }

    /// Claims a record that a group of the seats holds.
    pub(super) fn claim_in(
        &mut self,
        now: Micros,
        id: RecordId,
        group: &[u16],
        out: &mut Vec<Effect>,
    ) -> Option<ClaimId> {
        let (seats, swim) = (&self.settings.seats, &self.swim);
        let mut outs = Vec::new();
        let reachable = |seat| can_hold(seats, swim, seat);
        let claimed = self.desk.as_mut()?.open_in(now, (id, group), reachable, &mut outs);
        self.book(outs, out);
        claimed
    }

    /// Writes a claim's record; none where it may not.
    pub fn change(&mut self, now: Micros, of: ClaimId, change: Change, out: &mut Vec<Effect>) -> Option<u32> {
        let mut outs = Vec::new();
        let number = self.desk.as_mut()?.change(now, of, change, &mut outs);
        self.book(outs, out);
        number
    }

    /// The request is to be left with the holders of its record, so that it is finished whoever dies.
    pub fn bring(&mut self, of: ClaimId, request: Vec<u8>) {
        self.desk.iter_mut().for_each(|desk| desk.bring(of, request.clone()));
    }

    /// The holders that a claim asked are slow.
    pub fn hurry(&mut self, now: Micros, of: ClaimId, out: &mut Vec<Effect>) {
        let mut outs = Vec::new();
        self.desk.iter_mut().for_each(|desk| desk.hurry(now, of, &mut outs));
        self.book(outs, out);
    }

    /// A claim's work goes on without a record.
    pub fn goes_alone(&mut self) {
        self.desk.iter_mut().for_each(|desk| desk.tallies.unprotected += 1);
    }

    /// An attempt of a claim's work surely never ran.
    pub fn never_ran(&mut self, of: ClaimId, server: u64) {
        self.desk.iter_mut().for_each(|desk| desk.never_ran(of, server));
    }

    /// Whether the owner of a claim's record may do something now that others see.
    pub fn may_act(&self, now: Micros, of: ClaimId) -> bool {
        self.desk.as_ref().is_some_and(|desk| desk.may_act(now, of))
    }

    /// A claim's work is over here, with its answer or without.
    pub fn let_go(&mut self, now: Micros, of: ClaimId, answer: Option<Vec<u8>>, out: &mut Vec<Effect>) {
        let mut outs = Vec::new();
        self.desk.iter_mut().for_each(|desk| desk.let_go(now, of, answer.clone(), &mut outs));
        self.book(outs, out);
    }

    pub(super) fn beat(&mut self, out: &mut Vec<Effect>) {
        let (now, mut outs) = (self.now, Vec::new());
        self.desk.iter_mut().for_each(|desk| desk.beat(now, &mut outs));
        self.book(outs, out);
    }

    /// A message of the ledger from a seat of that list.
    pub(super) fn books_hear(
        &mut self,
        list: u64,
        seat: u16,
        message: Message,
        out: &mut Vec<Effect>,
    ) -> Result<(), DatagramError> {
        let (now, mut outs) = (self.now, Vec::new());
        let same = self.quota_leases.as_ref().is_some_and(|leases| leases.seat_list() == list);
        let desk = self.desk.as_mut().filter(|_| same).ok_or(DatagramError::Rejected)?;
        desk.hear(now, seat, message, &mut outs);
        self.book(outs, out);
        Ok(())
    }

    fn book(&mut self, outs: Vec<Out>, out: &mut Vec<Effect>) {
        self.release(outs.into_iter().map(Word::Ledger).collect(), out);
    }

    /// One word of the ledger goes out.
    pub(super) fn book_out(&mut self, one: Out, out: &mut Vec<Effect>) {
        let Some((list, own)) = own_seat(self) else { return };
        match one {
            Out::Found(claim, finding) => {
                if !self.rolling_found(claim, &finding, out) && !self.filing_found(claim, &finding, out) {
                    out.push(Effect::ClaimResolved { claim, outcome: finding });
                }
            }
            Out::Orphan(orphan) => out.push(Effect::RequestAbandoned(orphan)),
            Out::To(seat, message) => {
                self.send_to_seat(seat, &Payload::Ledger { seat_list: list, seat: own, message }, out)
            }
        }
    }

    /// Sends a frame to a seat.
    pub(super) fn send_to_seat(&mut self, seat: u16, head: &Payload, out: &mut Vec<Effect>) {
        let Some(name) = self.settings.seats.get(usize::from(seat)) else { return };
        let known = self.swim.records().get(name.as_str()).map(|r| r.identity.clone());
        let to = known.unwrap_or_else(|| Identity::unknown(name));
        let address: Option<SocketAddr> = self.addresses(&to).next();
        let frame = datagram::encode(self.cluster_tag, head, &[]);
        self.traffic.unaddressed += u64::from(address.is_none());
        if let (Some(address), Some(frame)) = (address, frame) {
            self.send_frame(address, frame, out);
        }
    }
}

/// Whether the gateway in this seat is there, and holds records.
fn can_hold(seats: &[String], swim: &Swim, seat: u16) -> bool {
    let record = seats.get(usize::from(seat)).and_then(|name| swim.records().get(name.as_str()));
    record.is_some_and(|r| r.state.is_present() && r.identity.metadata.capabilities & CAPABILITY_LEDGER != 0)
}

/// What stands for this gateway's list of seats, and its seat.
pub(super) fn own_seat(fleet: &ClusterNode) -> Option<(u64, u16)> {
    fleet.quota_leases.as_ref().map(|leases| (leases.seat_list(), leases.seat().0 as u16))
}
