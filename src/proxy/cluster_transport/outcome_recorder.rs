//! Buffers records of the runtime for the cluster node: outcomes of requests under a rollout, and reachability of
//! backends.

use crate::cluster::rollout::{Arm, RequestOutcome, RolloutKey};
use crate::decision::{ClassId, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// Maximum number of waiting records of each kind. The node takes them at each ledger tick.
const MAX_WAITING_RECORDS: usize = 20_000;

/// Assignment of a request to an arm of a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutAssignment {
    /// Key of the rollout.
    pub key: RolloutKey,
    /// Baseline or canary rules.
    pub arm: Arm,
    /// Class of the request.
    pub class: ClassId,
    /// Arrival time of the request.
    pub arrived_at: Micros,
    /// Number of earlier attempts by other gateways.
    pub prior_attempts: usize,
}

/// Outcome of a request under a rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutOutcome {
    /// Assignment of the request.
    pub assignment: RolloutAssignment,
    /// Time at which the request ended.
    pub ended_at: Micros,
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// Response time as a fraction of the class's latency objective; 0 if the request was not served.
    pub objective_fraction: f64,
}

/// Records waiting for the node.
#[derive(Default)]
pub struct OutcomeRecorder {
    outcomes: RefCell<Vec<RolloutOutcome>>,
    dropped: Cell<u64>,
    /// Whether a backend responded, for each attempt since the last ledger tick, oldest first.
    reachability: RefCell<Vec<bool>>,
    /// Addresses of the known backends.
    backends: RefCell<Vec<SocketAddr>>,
    /// Whether the branch is isolated from the backends.
    is_isolated: Cell<bool>,
    records_reachability: Cell<bool>,
}

impl OutcomeRecorder {
    /// Records the outcome of a request under a rollout, or counts it as dropped if too many are waiting.
    pub fn record(&self, outcome: RolloutOutcome) {
        let mut outcomes = self.outcomes.borrow_mut();
        match outcomes.len() < MAX_WAITING_RECORDS {
            true => outcomes.push(outcome),
            false => self.dropped.set(self.dropped.get() + 1),
        }
    }

    /// Records whether a backend responded to an attempt, with any status.
    pub fn record_reachability(&self, responded: bool) {
        let mut reachability = self.reachability.borrow_mut();
        if self.records_reachability.get() && reachability.len() < MAX_WAITING_RECORDS {
            reachability.push(responded);
        }
    }

    /// Starts recording reachability. Called if the gateway belongs to a branch.
    pub fn start_recording_reachability(&self) {
        self.records_reachability.set(true);
    }

    /// Whether reachability is recorded.
    pub fn records_reachability(&self) -> bool {
        self.records_reachability.get()
    }

    /// Takes all reachability records.
    pub fn take_reachability(&self) -> Vec<bool> {
        std::mem::take(&mut *self.reachability.borrow_mut())
    }

    /// Replaces the addresses of the known backends.
    pub fn set_backends(&self, addresses: Vec<SocketAddr>) {
        *self.backends.borrow_mut() = addresses;
    }

    /// Returns the address of a random backend, if any is known.
    pub fn random_backend(&self) -> Option<SocketAddr> {
        fastrand::choice(self.backends.borrow().iter().copied())
    }

    /// Whether the branch is isolated from the backends.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated.get()
    }

    /// Sets whether the branch is isolated from the backends.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.set(is_isolated);
    }

    /// Takes all recorded outcomes.
    pub fn take_outcomes(&self) -> Vec<RolloutOutcome> {
        std::mem::take(&mut *self.outcomes.borrow_mut())
    }

    /// Number of outcomes dropped because too many were waiting.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }
}
