//! Which quota shares this member may use: each seat's share belongs to its own gateway or is shared out among the
//! others, never both.
//!
//! A gateway uses the lent part of its share while more than half of all seats state that it holds its seat; others
//! use it while more than half state that the seat is free. A statement counts for [`STATEMENT_VALIDITY`], and a member
//! waits longer than that ([`OPPOSITE_STATEMENT_WAIT`]) before it states the opposite. Any two majorities have a member
//! in common, so both can't hold at one time, whatever is cut, paused, delayed, doubled, lost or forgotten.

use crate::cluster::quota_lease::view::{IncarnationTag, SeatStatement, View};
use crate::cluster::quota_lease::view_gossip::{ViewGossip, STATEMENT_VALIDITY};
use crate::decision::Micros;

/// The time between two opposite statements on a seat, and from a start to the first statement: longer than any
/// statement counts, with room for clocks whose rates differ by a twentieth.
pub const OPPOSITE_STATEMENT_WAIT: Micros = Micros(STATEMENT_VALIDITY.0 + STATEMENT_VALIDITY.0 / 20);

/// Who is in a seat, as membership has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatOccupant {
    /// The incarnation with this tag takes part.
    Present(IncarnationTag),
    /// Nobody.
    Absent,
}

/// This member's last statement on a seat, other than `None`.
#[derive(Debug, Clone, Copy)]
struct LastStatement {
    statement: SeatStatement,
    /// Until when it may still count somewhere.
    counts_until: Micros,
}

/// The quota shares that a gateway may use.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaShares {
    /// Until then the own share is whole, and those of `free_seats` are shared out; 0: the own share is cut to the part
    /// that is never lent.
    pub until: Micros,
    /// Seats whose shares are shared out.
    pub free_seats: Vec<u32>,
}

/// This member's statements on all seats.
#[derive(Debug)]
pub struct SeatLeases {
    own_seat: usize,
    last_statements: Vec<Option<LastStatement>>,
    view: View,
    /// Before this it states nothing: an earlier process in this seat may have stated the opposite, and forgot it.
    silent_until: Micros,
}

impl SeatLeases {
    /// For a process that starts now in this seat of so many.
    pub fn new(own_seat: usize, seats: usize, now: Micros) -> SeatLeases {
        SeatLeases {
            own_seat,
            last_statements: vec![None; seats],
            view: View::empty(seats),
            silent_until: now + OPPOSITE_STATEMENT_WAIT,
        }
    }

    /// What this member states.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Others state the same by a higher number: so does this member.
    pub fn raise_number(&mut self, number: u64) {
        self.view.number = number;
    }

    /// Whether it states anything yet.
    pub fn is_silent(&self, now: Micros) -> bool {
        now < self.silent_until
    }

    /// Brings the statements to what is known of the seats' occupants, as far as they may be made already. A changed
    /// view gets a number above `highest_number`.
    pub fn update(&mut self, now: Micros, occupants: &[SeatOccupant], highest_number: u64) {
        if self.is_silent(now) {
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

    /// The quota shares that this member may use now.
    pub fn shares(&self, gossip: &ViewGossip, own_incarnation: u64, now: Micros) -> QuotaShares {
        let held_by_us = SeatStatement::Held(IncarnationTag::of(own_incarnation));
        let held_until = gossip.majority_until(self.own_seat, held_by_us, now);
        let Some(mut until) = held_until.filter(|_| !self.is_silent(now)) else {
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

/// What may be stated of a seat now. The last statement may be made again at once, its opposite only when nobody counts
/// it any more.
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
