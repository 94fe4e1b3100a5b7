//! Quota shares that this member may use: the share of each seat is used either by the seat's own gateway or by the
//! others, never by both.
//!
//! A gateway uses the leased part of its share while more than half of all seats state that it holds its seat; the
//! others use that part while more than half state that the seat is free. A statement is valid for
//! [`STATEMENT_VALIDITY`], and a member waits longer than that ([`OPPOSITE_STATEMENT_WAIT`]) before it states the
//! opposite. Any two majorities have a member in common, so the two conditions never hold at the same time, even with
//! partitions, pauses, restarts, and datagrams that are delayed, duplicated or lost.

use crate::cluster::quota_lease::view::{IncarnationTag, SeatStatement, View};
use crate::cluster::quota_lease::view_gossip::{ViewGossip, STATEMENT_VALIDITY};
use crate::decision::Micros;

/// Minimum time between two opposite statements on a seat, and between a start and the first statement. Longer than a
/// statement is valid, with a margin for clock rates that differ by a twentieth.
pub const OPPOSITE_STATEMENT_WAIT: Micros = Micros(STATEMENT_VALIDITY.0 + STATEMENT_VALIDITY.0 / 20);

/// Occupant of a seat according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatOccupant {
    /// The incarnation with this tag takes part in the cluster.
    Present(IncarnationTag),
    /// The seat's gateway is not present.
    Absent,
}

/// Last statement of this member on a seat, other than `None`.
#[derive(Debug, Clone, Copy)]
struct LastStatement {
    statement: SeatStatement,
    /// Time until which some member may still count the statement.
    counts_until: Micros,
}

/// Quota shares that a gateway may use.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaShares {
    /// Time until which the gateway may use its complete share and its part of the shares of `free_seats`. If
    /// 0, the gateway may use only the part of its own share that is never leased.
    pub until: Micros,
    /// Seats whose shares are divided among the other gateways.
    pub free_seats: Vec<u32>,
}

/// Statements of this member on all seats.
#[derive(Debug)]
pub struct SeatLeases {
    own_seat: usize,
    last_statements: Vec<Option<LastStatement>>,
    view: View,
    /// Time before which this member makes no statements, because an earlier process in this seat may have
    /// made opposite statements of which this process has no record.
    abstains_until: Micros,
}

impl SeatLeases {
    /// Creates the statements of a process that starts now in seat `own_seat` of `seats`.
    pub fn new(own_seat: usize, seats: usize, now: Micros) -> SeatLeases {
        SeatLeases {
            own_seat,
            last_statements: vec![None; seats],
            view: View::empty(seats),
            abstains_until: now + OPPOSITE_STATEMENT_WAIT,
        }
    }

    /// Current view of this member.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes a higher view number under which other members make the same statements.
    pub fn raise_number(&mut self, number: u64) {
        self.view.number = number;
    }

    /// Whether it is too early after the start to make statements.
    pub fn is_abstaining(&self, now: Micros) -> bool {
        now < self.abstains_until
    }

    /// Updates the statements according to the seats' occupants. A statement that is not allowed yet is left
    /// out. A changed view gets a number above `highest_number`.
    pub fn update(&mut self, now: Micros, occupants: &[SeatOccupant], highest_number: u64) {
        if self.is_abstaining(now) {
            return;
        }
        let mut is_changed = false;
        for (seat, (last, occupant)) in self.last_statements.iter_mut().zip(occupants).enumerate() {
            let statement = next_statement(*last, *occupant, now);
            if statement != SeatStatement::None {
                *last = Some(LastStatement { statement, counts_until: now + OPPOSITE_STATEMENT_WAIT });
            }
            is_changed |= self.view.set(seat, statement);
        }
        if is_changed {
            self.view.number = self.view.number.max(highest_number).saturating_add(1);
        }
    }

    /// Returns the quota shares that this member may use now.
    pub fn shares(&self, gossip: &ViewGossip, own_incarnation: u64, now: Micros) -> QuotaShares {
        let held_by_us = SeatStatement::Held(IncarnationTag::from_incarnation(own_incarnation));
        let held_until = gossip.majority_until(self.own_seat, held_by_us, now);
        let Some(mut until) = held_until.filter(|_| !self.is_abstaining(now)) else {
            return QuotaShares::default();
        };
        let mut free_seats = Vec::new();
        for seat in (0..self.last_statements.len()).filter(|seat| *seat != self.own_seat) {
            if let Some(free_until) = gossip.majority_until(seat, SeatStatement::Free, now) {
                until = until.min(free_until);
                free_seats.push(seat as u32);
            }
        }
        QuotaShares { until, free_seats }
    }
}

/// Returns the statement that is allowed on a seat now. The last statement may be repeated at once. A
/// different statement is allowed only when no member counts the last statement any more.
fn next_statement(last: Option<LastStatement>, occupant: SeatOccupant, now: Micros) -> SeatStatement {
    let wanted = match occupant {
        SeatOccupant::Present(tag) => SeatStatement::Held(tag),
        SeatOccupant::Absent => SeatStatement::Free,
    };
    match last {
        Some(last) if last.statement != wanted && now < last.counts_until => SeatStatement::None,
        _ => wanted,
    }
}
