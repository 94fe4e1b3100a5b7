//! Quota leases: the quota shares of gateways that are gone are used by the others, and never by both.
//!
//! [`view`]: what one member states of all seats. [`view_gossip`]: how statements spread, and how old they are.
//! [`seat_lease`]: what may be stated when, and which shares follow from it. [`agreement`]: whether all agree.
//! `docs/decisions/0001-membership.md` gives the invariants and why they hold.

pub mod agreement;
pub mod seat_lease;
pub mod view;
pub mod view_gossip;

use crate::cluster::membership::members::{MemberRecord, MemberState};
use crate::cluster::quota_lease::agreement::{Agreement, SeatCounts};
use crate::cluster::quota_lease::seat_lease::{QuotaShares, SeatLeases, SeatOccupant};
use crate::cluster::quota_lease::view::{IncarnationTag, MAX_SEATS};
use crate::cluster::quota_lease::view_gossip::{Table, ViewGossip};
use crate::decision::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// The mean time between two requests to members drawn at random: twenty while a statement counts.
const REQUEST_INTERVAL: Micros = Micros(500_000);
/// The most requests whose replies are still taken.
const MAX_PENDING_REQUESTS: usize = 16;

/// All other members, by name.
type MemberRecords = BTreeMap<Rc<str>, MemberRecord>;

/// A request whose reply is waited for.
struct PendingRequest {
    token: u64,
    requested_at: Micros,
}

/// The quota leases of all seats, as one member has them.
pub struct QuotaLeases {
    seat_numbers: BTreeMap<String, usize>,
    own_seat: usize,
    seat_list: u64,
    gossip: ViewGossip,
    leases: SeatLeases,
    next_request_at: Micros,
    pending: VecDeque<PendingRequest>,
    last_shares: Option<QuotaShares>,
    /// Requests and replies of members that have another list of seats.
    differing: u64,
}

/// The state of the quota leases, for people.
#[derive(Debug, Clone)]
pub struct QuotaLeaseStatus {
    /// The view's number.
    pub number: u64,
    /// Its digest.
    pub digest: u64,
    /// Whether the cluster agrees.
    pub agreement: Agreement,
    /// The counts that this follows from.
    pub counts: SeatCounts,
    /// The shares that may be used now.
    pub shares: QuotaShares,
    /// Requests and replies of members that have another list of seats.
    pub differing: u64,
}

impl QuotaLeases {
    /// For the gateway of this name in a list of seats, which is the same at every gateway. None where the name has no
    /// seat, or there are more than `MAX_SEATS`.
    pub fn new(seats: &[String], name: &str, now: Micros, random: u64) -> Option<QuotaLeases> {
        let own_seat = seats.iter().position(|seat| seat == name).filter(|_| seats.len() <= MAX_SEATS)?;
        Some(QuotaLeases {
            seat_numbers: seats.iter().cloned().enumerate().map(|(number, seat)| (seat, number)).collect(),
            own_seat,
            seat_list: xxh3_64(seats.join("\n").as_bytes()),
            gossip: ViewGossip::new(seats.len()),
            leases: SeatLeases::new(own_seat, seats.len(), now),
            next_request_at: now + Micros(random % REQUEST_INTERVAL.0),
            pending: VecDeque::new(),
            last_shares: None,
            differing: 0,
        })
    }

    /// This gateway's seat.
    pub fn own_seat(&self) -> u16 {
        self.own_seat as u16
    }

    /// How many seats there are.
    pub fn seat_count(&self) -> usize {
        self.seat_numbers.len()
    }

    /// The digest of the list of seats.
    pub fn seat_list(&self) -> u64 {
        self.seat_list
    }

    /// Brings this member's statements to what membership knows.
    pub fn update(&mut self, now: Micros, own_incarnation: u64, records: &MemberRecords) {
        let occupants = self.occupants(own_incarnation, records);
        if let Some(number) = self.gossip.higher_number_of_same(self.leases.view()) {
            self.leases.raise_number(number);
        }
        self.leases.update(now, &occupants, self.gossip.highest_number());
        if !self.leases.is_silent(now) {
            self.gossip.state(self.own_seat, self.leases.view(), now);
        }
    }

    fn occupants(&self, own_incarnation: u64, records: &MemberRecords) -> Vec<SeatOccupant> {
        let mut occupants = vec![SeatOccupant::Absent; self.seat_numbers.len()];
        for record in records.values().filter(|record| record.state.is_present()) {
            if let Some(&seat) = self.seat_numbers.get(&*record.identity.name) {
                occupants[seat] = SeatOccupant::Present(IncarnationTag::of(record.identity.incarnation));
            }
        }
        occupants[self.own_seat] = SeatOccupant::Present(IncarnationTag::of(own_incarnation));
        occupants
    }

    /// The token of a request, if one is due.
    pub fn next_request(&mut self, now: Micros, random: u64) -> Option<u64> {
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + Micros(REQUEST_INTERVAL.0 / 2 + random % REQUEST_INTERVAL.0);
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingRequest { token: random, requested_at: now });
        Some(random)
    }

    /// The reply to a request of a member with this list of seats; none where that differs.
    pub fn reply(&mut self, seat_list: u64, now: Micros) -> Option<Table> {
        if seat_list != self.seat_list {
            self.differing += 1;
            return None;
        }
        Some(self.gossip.table(now, self.leases.view()))
    }

    /// A reply came. Returns whether it was requested and valid.
    pub fn take_reply(&mut self, seat_list: u64, token: u64, table: &Table) -> bool {
        let Some(place) = self.pending.iter().position(|request| request.token == token) else {
            return false;
        };
        let Some(request) = self.pending.remove(place) else { return false };
        if seat_list != self.seat_list {
            self.differing += 1;
            return true;
        }
        self.gossip.merge(table, request.requested_at, self.own_seat)
    }

    /// The quota shares, where they are not those that this returned last.
    pub fn changed_shares(&mut self, now: Micros, own_incarnation: u64) -> Option<QuotaShares> {
        let shares = self.leases.shares(&self.gossip, own_incarnation, now);
        if self.last_shares.as_ref() == Some(&shares) {
            return None;
        }
        self.last_shares = Some(shares.clone());
        Some(shares)
    }

    fn counts(&self, now: Micros, records: &MemberRecords) -> SeatCounts {
        let count = |state: MemberState| {
            let states = self.seat_numbers.keys().map(|name| records.get(name.as_str()).map(|r| r.state));
            states.filter(|known| *known == Some(state)).count()
        };
        let view = self.leases.view();
        SeatCounts {
            total: self.seat_numbers.len(),
            left: count(MemberState::Left),
            down: count(MemberState::Down),
            reporting: self.gossip.seats_reporting(now),
            stating_own_view: self.gossip.seats_stating(view.digest(), now),
            held: view.held_seats(),
        }
    }

    /// The state, for people.
    pub fn status(&self, now: Micros, own_incarnation: u64, records: &MemberRecords) -> QuotaLeaseStatus {
        let view = self.leases.view();
        let counts = self.counts(now, records);
        QuotaLeaseStatus {
            number: view.number,
            digest: view.digest(),
            agreement: counts.agreement(),
            counts,
            shares: self.leases.shares(&self.gossip, own_incarnation, now),
            differing: self.differing,
        }
    }
}
