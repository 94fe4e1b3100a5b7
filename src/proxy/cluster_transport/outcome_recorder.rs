//! What the runtime records for the cluster's node: how requests ended under a rollout, and whether backends can be reached.

use crate::cluster::rollout::{Arm, RequestOutcome, RolloutKey};
use crate::decision::{ClassId, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// The most records of a kind that wait for the node, which takes them with each ledger tick.
const MAX_WAITING: usize = 20_000;

/// A request that is routed by the rules of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutAssignment {
    /// Which rollout.
    pub key: RolloutKey,
    /// Which of its two sets of rules.
    pub arm: Arm,
    /// The request's class.
    pub class: ClassId,
    /// When it arrived.
    pub arrived_at: Micros,
    /// How many attempts other gateways made of it before.
    pub prior_attempts: usize,
}

/// How a request ended under a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutOutcome {
    /// The request.
    pub assignment: RolloutAssignment,
    /// When it ended.
    pub ended_at: Micros,
    /// How.
    pub outcome: RequestOutcome,
    /// How long it took, as a fraction of its class's latency objective; 0 where it was not served.
    pub objective_fraction: f64,
}

/// Records that wait for the node.
#[derive(Default)]
pub struct OutcomeRecorder {
    outcomes: RefCell<Vec<RolloutOutcome>>,
    dropped: Cell<u64>,
    /// Whether backends answered the last attempts, oldest first.
    reachability: RefCell<Vec<bool>>,
    /// Where backends are.
    backends: RefCell<Vec<SocketAddr>>,
    is_isolated: Cell<bool>,
    records_reachability: Cell<bool>,
}

impl OutcomeRecorder {
    /// A request ended under a rollout.
    pub fn record(&self, outcome: RolloutOutcome) {
        let mut outcomes = self.outcomes.borrow_mut();
        match outcomes.len() < MAX_WAITING {
            true => outcomes.push(outcome),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// A backend answered an attempt, whatever it answered, or could not be reached.
    pub fn record_reachability(&self, answered: bool) {
        let mut reachability = self.reachability.borrow_mut();
        if self.records_reachability.get() && reachability.len() < MAX_WAITING {
            reachability.push(answered);
        }
    }

    /// Records reachability from now on: the gateway belongs to a branch.
    pub fn start_recording_reachability(&self) {
        self.records_reachability.set(true);
    }

    /// Whether reachability is recorded.
    pub fn records_reachability(&self) -> bool {
        self.records_reachability.get()
    }

    /// Takes what was recorded of reachability.
    pub fn take_reachability(&self) -> Vec<bool> {
        std::mem::take(&mut *self.reachability.borrow_mut())
    }

    /// Backends are there now.
    pub fn set_backends(&self, addresses: Vec<SocketAddr>) {
        *self.backends.borrow_mut() = addresses;
    }

    /// A backend by chance, if there is any.
    pub fn random_backend(&self) -> Option<SocketAddr> {
        fastrand::choice(self.backends.borrow().iter().copied())
    }

    /// Whether the branch is cut off.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.get()
    }

    /// The branch is cut off from now on, or no longer.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.set(is_isolated);
    }

    /// Takes all outcomes that wait.
    pub fn take_outcomes(&self) -> Vec<RolloutOutcome> {
        std::mem::take(&mut *self.outcomes.borrow_mut())
    }

    /// How many outcomes found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}
