//! One gateway's counts of how requests ended, by arm and class, and its bets that the new arm is worse.
//!
//! Requests of one class that end at one gateway within about a second are a slice. If the arms are alike, then of a
//! slice's bad ends each falls to the new arm by its part `p` of the requests, and a bet that pays `exp(t)` for each
//! that does, at the price `(1 - p + p exp(t))` for each bad end at all, gains nothing on average (Hoeffding 1963 for
//! draws without replacement). What all bets together gained is therefore over `1 / a` at any time at all in at most
//! the part `a` of sound rollouts (Ville 1939), however often it is looked at. Whatever befalls both arms alike - a
//! lost zone, a silent counter, a busy hour - is in the slice's own number of bad ends and tells nothing.

use crate::cluster::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The odds that are bet on, as natural logarithms: the bad ends 1.25, 1.6, 2.5 and 6 times as likely.
pub const TILTS: [f64; 4] = [0.223, 0.47, 0.916, 1.792];
/// A slice is closed after this, once both arms are in it; and forgotten after that.
const SLICE: Micros = Micros(1_000_000);
const LONGEST: Micros = Micros(10_000_000);
/// The most classes that are counted; further ones have no part in the verdict.
pub const MOST_CLASSES: u16 = 64;
/// Bounds of the answers' times, as parts of the aim; the last bin is what is longer.
const BINS: [f64; 4] = [0.25, 0.5, 1.0, 2.0];

/// Which rules a request went by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arm {
    /// Those before.
    Old,
    /// The new ones.
    New,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Served within its aim.
    InTime,
    /// Served later.
    Late,
    /// Sent to a server at least once, and not served.
    Failed,
    /// Refused before it was ever sent: that goes by quotas, and is counted, not judged.
    Refused,
}

/// The counts of one class. They only grow.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// By arm: in time, late, failed, refused.
    pub ends: [[u64; 4]; 2],
    /// By arm: answers within a quarter, a half, the whole and twice the aim, and later.
    pub times: [[u64; 5]; 2],
    /// Bad ends of the new arm that were bet on.
    pub hits: u64,
    /// The price of the bets so far, by tilt, as natural logarithms.
    pub price: [f64; 4],
}

impl Cell {
    /// Requests of an arm that were sent on, and of them those that ended badly.
    pub fn judged(&self, arm: usize) -> (u64, u64) {
        let [in_time, late, failed, _] = self.ends.get(arm).copied().unwrap_or_default();
        let bad = late.saturating_add(failed);
        (in_time.saturating_add(bad), bad)
    }

    /// Whether counts like these can be. A price is at most what every bad end of both arms could cost.
    pub fn is_sound(&self) -> bool {
        const MOST: u64 = 1 << 40;
        let counts = self.ends.iter().flatten().chain(self.times.iter().flatten());
        if !counts.chain([&self.hits]).all(|n| *n < MOST) {
            return false;
        }
        let bad = self.judged(0).1 + self.judged(1).1;
        let fits = |(price, tilt): (&f64, f64)| {
            price.is_finite() && *price >= 0.0 && *price <= bad as f64 * tilt + 1e-6
        };
        self.hits <= self.judged(1).1 && self.price.iter().zip(TILTS).all(fits)
    }

    /// What the bets gained with each tilt, as natural logarithms.
    pub fn gains(&self) -> [f64; 4] {
        let mut gains = [0.0; 4];
        for (gain, (tilt, price)) in gains.iter_mut().zip(TILTS.iter().zip(self.price)) {
            *gain = tilt * self.hits as f64 - price;
        }
        gains
    }
}

#[derive(Debug, Clone, Default)]
struct Slice {
    since: Option<Micros>,
    sent: [u64; 2],
    bad: [u64; 2],
}

impl Slice {
    /// Bets on a slice that is full, and forgets it. Whether it is full goes by its requests, never by their ends.
    fn close(&mut self, now: Micros, cell: &mut Cell) {
        let Some(since) = self.since else { return };
        let both = self.sent.iter().all(|n| *n > 0);
        if now - since < SLICE || !both && now - since < LONGEST {
            return;
        }
        if both {
            let (all, bad) = (self.sent.iter().sum::<u64>() as f64, self.bad.iter().sum::<u64>());
            let part = self.sent[1] as f64 / all;
            cell.hits += self.bad[1];
            for (price, tilt) in cell.price.iter_mut().zip(TILTS) {
                *price += bad as f64 * (1.0 - part + part * tilt.exp()).ln();
            }
        }
        *self = Slice::default();
    }
}

/// All of a gateway's counts in one rollout.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    classes: BTreeMap<u16, (Cell, Slice)>,
}

impl Tally {
    /// A request ended, so much of its aim after it came.
    pub fn count(&mut self, now: Micros, class: u16, arm: Arm, ended: Ended, part_of_aim: f64) {
        if class >= MOST_CLASSES {
            return;
        }
        let (cell, slice) = self.classes.entry(class).or_default();
        let arm = arm as usize;
        cell.ends[arm][ended as usize] += 1;
        if matches!(ended, Ended::InTime | Ended::Late) {
            let bin = BINS.iter().position(|bound| part_of_aim <= *bound).unwrap_or(BINS.len());
            cell.times[arm][bin] += 1;
        }
        if ended == Ended::Refused {
            return;
        }
        slice.close(now, cell);
        slice.since.get_or_insert(now);
        slice.sent[arm] += 1;
        slice.bad[arm] += u64::from(ended != Ended::InTime);
    }

    /// The counts so far, by class.
    pub fn cells(&mut self, now: Micros) -> impl Iterator<Item = (u16, &Cell)> {
        self.classes.iter_mut().map(move |(class, (cell, slice))| {
            slice.close(now, cell);
            (*class, &*cell)
        })
    }
}
