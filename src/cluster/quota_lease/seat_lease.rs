//! Whose share is whose: each seat's share of the quotas is in force for its own gateway or lent to the others,
//! never both.
//!
//! More than half of all seats must say that a seat is held by this life before its gateway uses the lent part
//! of its share, and more than half that it is free before others do. Words count for `VALID`; a member that said
//! one of the two waits longer than that before it says the other. Any two halves have a member in common, so
//! both can't hold at one time, whatever is cut, paused, delayed, doubled, lost or forgotten.

use crate::cluster::quota_lease::view::{life, Say, View};
use crate::cluster::quota_lease::view_gossip::{Census, VALID};
use crate::cluster::Micros;

/// Between two opposite words on a seat, and from a start to the first word: longer than any word counts, with
/// room for clocks that run at slightly different rates.
pub const WAIT: Micros = Micros(VALID.0 + VALID.0 / 20);

/// What is known of the occupant of a seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Occupant {
    /// It takes part, in the life with this tag.
    Present(u8),
    /// It does not.
    Absent,
}

/// One seat, as this member speaks of it.
#[derive(Debug, Clone, Copy)]
struct Seat {
    /// The last word that was not `Nothing`, and until when it may still count somewhere.
    last: Option<Say>,
    counts_until: Micros,
}

/// The shares as the module is told of them.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaShares {
    /// The own share is whole, and those of `free_seats` are shared out, until then; 0: it is not.
    pub until: Micros,
    /// Seats whose shares are free.
    pub free_seats: Vec<u32>,
}

/// This member's part in the custody of all seats.
#[derive(Debug)]
pub struct Custody {
    own: usize,
    seats: Vec<Seat>,
    /// What it says.
    pub view: View,
    /// Before this it says nothing: an earlier life may have spoken.
    speaks_from: Micros,
}

impl Custody {
    /// For a process that starts now in this seat of so many.
    pub fn new(own: usize, seats: usize, now: Micros) -> Custody {
        let seat = Seat { last: None, counts_until: Micros(0) };
        Custody { own, seats: vec![seat; seats], view: View::silent(seats), speaks_from: now + WAIT }
    }

    /// Whether it says anything yet.
    pub fn speaks(&self, now: Micros) -> bool {
        now >= self.speaks_from
    }

    /// Brings what this member says to what it knows of the occupants, as far as it may already say so.
    pub fn update(&mut self, now: Micros, occupant: impl Fn(usize) -> Occupant, highest: u64) {
        if !self.speaks(now) {
            return;
        }
        let mut changed = false;
        for (number, seat) in self.seats.iter_mut().enumerate() {
            let wanted = match occupant(number) {
                Occupant::Present(life) => Say::Held(life),
                Occupant::Absent => Say::Free,
            };
            // What was said last may be said again at once; its opposite only when nobody counts it any more.
            let say = match seat.last {
                Some(last) if last != wanted && now < seat.counts_until => Say::Nothing,
                _ => wanted,
            };
            if say != Say::Nothing {
                (seat.last, seat.counts_until) = (Some(say), now + WAIT);
            }
            changed |= self.view.set(number, say);
        }
        if changed {
            self.view.number = self.view.number.max(highest).saturating_add(1);
        }
    }

    /// The shares as this member may use them now.
    pub fn shares(&self, census: &Census, own_incarnation: u64, now: Micros) -> QuotaShares {
        let held = census.majority(self.own, Say::Held(life(own_incarnation)), now);
        let Some(mut until) = held.filter(|_| self.speaks(now)) else { return QuotaShares::default() };
        let mut free_seats = Vec::new();
        for seat in (0..self.seats.len()).filter(|seat| *seat != self.own) {
            if let Some(at) = census.majority(seat, Say::Free, now) {
                until = until.min(at);
                free_seats.push(seat as u32);
            }
        }
        QuotaShares { until, free_seats }
    }
}
