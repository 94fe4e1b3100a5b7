//! What the driver saw and the fleet part counts: how requests ended under the rules of a rollout, and whether attempts
//! outside are answered.

use crate::cluster::rollout::{Arm, RequestOutcome, RolloutKey};
use crate::decision::{ClassId, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The most ends that wait to be counted; the fleet part takes them every 20 ms.
const MOST: usize = 20_000;

/// A request that goes by the rules of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutAssignment {
    /// Of which rollout.
    pub key: RolloutKey,
    /// Which rules.
    pub arm: Arm,
    /// Its class.
    pub class: ClassId,
    /// When it came.
    pub came: Micros,
    /// Attempts of gateways that had it before.
    pub before: usize,
}

/// One end.
#[derive(Debug, Clone, Copy)]
pub struct RolloutOutcome {
    /// The request.
    pub judged: RolloutAssignment,
    /// When it ended.
    pub at: Micros,
    /// How.
    pub ended: RequestOutcome,
    /// How much of its aim that took.
    pub part_of_aim: f64,
}

/// The ends that wait.
#[derive(Default)]
pub struct OutcomeRecorder {
    seen: RefCell<Vec<RolloutOutcome>>,
    dropped: Cell<u64>,
    /// The last attempts, oldest first: answered or not.
    answers: RefCell<Vec<bool>>,
    /// Where backends are.
    outside: RefCell<Vec<SocketAddr>>,
    cut: Cell<bool>,
    /// Somebody counts what is seen outside.
    watched: Cell<bool>,
}

impl OutcomeRecorder {
    /// A request ended.
    pub fn note(&self, seen: RolloutOutcome) {
        let mut waiting = self.seen.borrow_mut();
        match waiting.len() < MOST {
            true => waiting.push(seen),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }
    /// An attempt outside was answered, whatever the answer, or not.
    pub fn saw(&self, answered: bool) {
        let mut answers = self.answers.borrow_mut();
        if self.watched.get() && answers.len() < MOST {
            answers.push(answered);
        }
    }
    /// Attempts outside are counted from now on.
    pub fn watch(&self) {
        self.watched.set(true);
    }
    /// Whether somebody counts them.
    pub fn is_watched(&self) -> bool {
        self.watched.get()
    }
    /// Takes what was seen of attempts.
    pub fn answers(&self) -> Vec<bool> {
        std::mem::take(&mut *self.answers.borrow_mut())
    }
    /// Backends are there now.
    pub fn backends(&self, at: Vec<SocketAddr>) {
        *self.outside.borrow_mut() = at;
    }
    /// One of them.
    pub fn outside(&self) -> Option<SocketAddr> {
        fastrand::choice(self.outside.borrow().iter().copied())
    }
    /// Whether the branch is cut off.
    pub fn is_cut(&self) -> bool {
        self.cut.get()
    }
    /// It is, or no longer.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }
    /// Takes all that wait.
    pub fn take(&self) -> Vec<RolloutOutcome> {
        std::mem::take(&mut *self.seen.borrow_mut())
    }
    /// How many found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}
