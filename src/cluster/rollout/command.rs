//! What is in force of a rollout: a value that any two gateways merge to the same, whatever came first.

use crate::cluster::rollout::{Rules, Terms};
use serde::{Deserialize, Serialize};

/// Which rollout: of two the one with the greater key is in force. A rollout that more than half of the seats were
/// once heard to know (`confirmed`) goes before one by the same number that nobody confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Rises from one rollout to the next.
    pub number: u64,
    /// More than half of the seats knew it.
    pub confirmed: bool,
    /// Drawn at its start; also the salt by which customers are dealt out.
    pub id: u64,
}

/// Why a rollout was halted.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Why {
    /// The new arm ends badly more often: where that was seen, by which bet for it to one, against which bound.
    Worse {
        /// `all`, a zone's name, or a class's number.
        place: String,
        /// The bet, as its natural logarithm.
        log_bet: f64,
        /// The bound that it passed.
        log_bound: f64,
    },
    /// A stage was not passed within the longest time.
    Undecided,
}

/// How a rollout ended. Of two words the later one here counts: a halt always wins.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum End {
    /// All customers have the new rules for good.
    Done,
    /// People called it off: the rules before are in force.
    Aborted,
    /// It was halted by this seat: the rules before are in force.
    Halted(u16, Why),
}

/// A rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Which.
    pub key: Key,
    /// The stage in force; 0: known, and nobody has the new rules.
    pub stage: u8,
    /// How often it was paused or taken up again, and whether it is paused.
    pub paused: (u32, bool),
    /// Its end.
    pub end: Option<End>,
    /// What is asked of it.
    pub terms: Terms,
    /// The rules before.
    pub old: Rules,
    /// The new rules.
    pub new: Rules,
}

impl Order {
    /// Whether what another says can be an order at all.
    pub fn is_sound(&self) -> bool {
        let why = match &self.end {
            Some(End::Halted(_, Why::Worse { place, log_bet, log_bound })) => {
                place.len() <= 40 && log_bet.is_finite() && log_bound.is_finite()
            }
            _ => true,
        };
        let rules = self.old.check().is_ok() && self.new.check().is_ok();
        why && rules && self.terms.check().is_ok() && usize::from(self.stage) <= self.terms.stages.len()
    }

    /// Whether it is the same rollout.
    pub fn is(&self, key: Key) -> bool {
        (self.key.number, self.key.id) == (key.number, key.id)
    }

    /// Takes in what another knows. Returns whether that was anything new.
    pub fn merge(&mut self, other: &Order) -> bool {
        if !self.is(other.key) {
            let newer = other.key > self.key;
            if newer {
                *self = other.clone();
            }
            return newer;
        }
        let before = self.clone();
        self.key.confirmed |= other.key.confirmed;
        self.stage = self.stage.max(other.stage);
        self.paused = self.paused.max(other.paused);
        if other.end.as_ref().is_some_and(|theirs| self.end.as_ref().is_none_or(|own| theirs > own)) {
            self.end = other.end.clone();
        }
        *self != before
    }

    /// The rules that hold for every customer now, where all have the same.
    pub fn settled(&self) -> &Rules {
        match self.end {
            Some(End::Done) => &self.new,
            _ => &self.old,
        }
    }

    /// The part of the customers, of 10,000, that have the new rules now.
    pub fn share(&self) -> u16 {
        match self.end {
            None => self.terms.share(self.stage),
            Some(End::Done) => crate::cluster::rollout::ALL,
            Some(_) => 0,
        }
    }
}
