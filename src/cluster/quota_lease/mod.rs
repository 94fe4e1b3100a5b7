//! Quota leases: while a gateway is down or has left, the others use its quota share; both never use it at the same
//! time.
//!
//! - [`view`]: the statements of one member on all seats.
//! - [`view_gossip`]: the exchange of statements, and their ages.
//! - [`seat_lease`]: which statements are allowed when, and which quota shares follow from them.
//! - [`agreement`]: whether all members agree.
//!
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

/// Mean time between two requests, each to a random member: 20 requests within the validity of a statement.
const REQUEST_INTERVAL: Micros = Micros(500_000);
/// Maximum number of requests whose replies are still accepted.
const MAX_PENDING_REQUESTS: usize = 16;

/// Records of all other members, by name.
type MemberRecords = BTreeMap<Rc<str>, MemberRecord>;

/// A request that waits for its reply.
struct PendingRequest {
    token: u64,
    requested_at: Micros,
}

/// Quota leases of all seats, as seen by one member.
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
    seat_list_mismatches: u64,
}

/// State of the quota leases, for operators.
#[derive(Debug, Clone)]
pub struct QuotaLeaseStatus {
    /// Number of the view.
    pub number: u64,
    /// Digest of the view.
    pub digest: u64,
    /// Agreement of the cluster.
    pub agreement: Agreement,
    /// Seat counts from which the agreement is derived.
    pub counts: SeatCounts,
    /// Quota shares that this gateway may use now.
    pub shares: QuotaShares,
    /// Requests and replies of members that have another list of seats.
    pub seat_list_mismatches: u64,
}

impl QuotaLeases {
    /// Creates the quota leases of the gateway called `name`. The list of seats has to be the same at every gateway.
    /// Returns `None` if the name has no seat, or if there are more than `MAX_SEATS`.
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
            seat_list_mismatches: 0,
        })
    }

    /// Seat number of this gateway.
    pub fn own_seat(&self) -> u16 {
        self.own_seat as u16
    }

    /// Number of seats.
    pub fn seat_count(&self) -> usize {
        self.seat_numbers.len()
    }

    /// Digest of the list of seats.
    pub fn seat_list(&self) -> u64 {
        self.seat_list
    }

    /// Updates this member's statements from the membership records.
    pub fn update(&mut self, now: Micros, own_incarnation: u64, records: &MemberRecords) {
        let occupants = self.occupants(own_incarnation, records);
        if let Some(number) = self.gossip.higher_number_of_same_statements(self.leases.view()) {
            self.leases.raise_number(number);
        }
        self.leases.update(now, &occupants, self.gossip.highest_number());
        if !self.leases.is_abstaining(now) {
            self.gossip.record_own_view(self.own_seat, self.leases.view(), now);
        }
    }

    fn occupants(&self, own_incarnation: u64, records: &MemberRecords) -> Vec<SeatOccupant> {
        let mut occupants = vec![SeatOccupant::Absent; self.seat_numbers.len()];
        for record in records.values().filter(|record| record.state.is_present()) {
            if let Some(&seat) = self.seat_numbers.get(&*record.identity.name) {
                occupants[seat] =
                    SeatOccupant::Present(IncarnationTag::from_incarnation(record.identity.incarnation));
            }
        }
        occupants[self.own_seat] = SeatOccupant::Present(IncarnationTag::from_incarnation(own_incarnation));
        occupants
    }

    /// Returns the token of the next request, if one is due.
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

    /// Returns the reply to a request, or `None` if the requesting member has another list of seats.
    pub fn reply(&mut self, seat_list: u64, now: Micros) -> Option<Table> {
        if seat_list != self.seat_list {
            self.seat_list_mismatches += 1;
            return None;
        }
        Some(self.gossip.table(now, self.leases.view()))
    }

    /// Processes a reply. Returns whether it was requested and valid.
    pub fn on_reply(&mut self, seat_list: u64, token: u64, table: &Table) -> bool {
        let Some(position) = self.pending.iter().position(|request| request.token == token) else {
            return false;
        };
        let Some(request) = self.pending.remove(position) else { return false };
        if seat_list != self.seat_list {
            self.seat_list_mismatches += 1;
            return true;
        }
        self.gossip.merge(table, request.requested_at, self.own_seat)
    }

    /// Returns the quota shares if they changed since the last call that returned any.
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

    /// Returns the state for operators.
    pub fn status(&self, now: Micros, own_incarnation: u64, records: &MemberRecords) -> QuotaLeaseStatus {
        let view = self.leases.view();
        let counts = self.counts(now, records);
        QuotaLeaseStatus {
            number: view.number,
            digest: view.digest(),
            agreement: counts.agreement(),
            counts,
            shares: self.leases.shares(&self.gossip, own_incarnation, now),
            seat_list_mismatches: self.seat_list_mismatches,
        }
    }
}
