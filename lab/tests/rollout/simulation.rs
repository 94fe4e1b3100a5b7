//! Simulation of a cluster under virtual time: the production rollout controllers, a network with loss, duplication,
//! delay and partitions, gateways that crash, and requests whose failure rate each test sets.

use quota_gateway::cluster::rollout::{
    Arm, ControllerEffect, RequestOutcome, RolloutController, RolloutMessage, RolloutRequest, RolloutState,
    RolloutStatus, TICK_INTERVAL,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const ROLLOUT_REQUEST: &str =
    "stages = [1, 5, 25, 100]\nbake_s = 5\nlongest_s = 600\nfalse_halts = 0.05\nmargin = 0.03\nleast = 150\n\
    [[rule]]\nzones = { a = 50 }\n";

/// Fraction of the requests that fail, by arm, zone, class and time in microseconds.
pub type FailureRate = Box<dyn Fn(Arm, usize, u16, u64) -> f64>;

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Option<RolloutController>>,
    pub started_at: Vec<u64>,
    pub process_count: u64,
    /// Messages in transit by time of arrival and serial number: receiver, sender, message.
    pub network: BTreeMap<(u64, u64), (usize, usize, RolloutMessage)>,
    pub sent: u64,
    /// Partition of each node, 0 for all without a partition; only nodes of the same partition can communicate.
    pub partition: Vec<usize>,
    pub loss: f64,
    pub duplication: f64,
    /// Holder of the rollout's record; the ledger allows one at a time.
    pub leader: Option<usize>,
    pub requests_per_second: f64,
    pub customers: u64,
    pub failure_rate: FailureRate,
    /// Time at which the end of each rollout was first known to a node, while there is no partition.
    pub ended_at: BTreeMap<u64, u64>,
    /// Time for which two rollouts have been running in one partition, in microseconds.
    pub concurrent_rollouts_us: u64,
    pub violations: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, failure_rate: FailureRate) -> Simulation {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: (0..nodes).map(|_| None).collect(),
            started_at: vec![0; nodes],
            process_count: 0,
            network: BTreeMap::new(),
            sent: 0,
            partition: vec![0; nodes],
            loss: 0.02,
            duplication: 0.02,
            leader: None,
            requests_per_second: 30.0,
            customers: 4000,
            failure_rate,
            ended_at: BTreeMap::new(),
            concurrent_rollouts_us: 0,
            violations: Vec::new(),
        };
        (0..nodes).for_each(|node| simulation.start_node(node));
        (0..8).for_each(|_| simulation.tick());
        simulation
    }

    pub fn start_node(&mut self, node: usize) {
        self.process_count += 1;
        let zone = ["a", "b"][node % 2].to_string();
        let process = 77 + self.process_count;
        let controller = RolloutController::new(
            node as u16,
            self.nodes.len(),
            zone,
            Default::default(),
            process,
            Micros(self.now),
        );
        (self.nodes[node], self.started_at[node]) = (Some(controller), self.now);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        if self.leader == Some(node) {
            self.leader = None;
        }
    }

    /// Running nodes in the partition of a node.
    pub fn present(&self, node: usize) -> Vec<u16> {
        let is_present =
            |other: &usize| self.nodes[*other].is_some() && self.partition[*other] == self.partition[node];
        (0..self.nodes.len()).filter(is_present).map(|other| other as u16).collect()
    }

    pub fn has_majority(&self, node: usize) -> bool {
        self.present(node).len() * 2 > self.nodes.len()
    }

    pub fn perform(&mut self, node: usize, effects: Vec<ControllerEffect>) {
        for effect in effects {
            match effect {
                ControllerEffect::Send { to, message } => {
                    let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
                    for _ in 0..copies {
                        if self.rng.random_bool(self.loss) {
                            continue;
                        }
                        let at = self.now + self.rng.random_range(200..20 * MS);
                        self.sent += 1;
                        self.network.insert((at, self.sent), (usize::from(to), node, message.clone()));
                    }
                }
                ControllerEffect::Claim => {
                    // As in the ledger, a claim needs a majority, and a record has one owner.
                    let is_free = self.leader.is_none() && self.has_majority(node);
                    let now = Micros(self.now);
                    let present = self.present(node);
                    let mut more_effects = Vec::new();
                    if let Some(controller) = self.nodes[node].as_mut() {
                        match is_free {
                            true => {
                                controller.set_claim(Some(1));
                                controller.on_claim_confirmed(now, &present, &mut more_effects);
                                self.leader = Some(node);
                            }
                            false => drop(controller.on_claim_failed(now)),
                        }
                    }
                    self.perform(node, more_effects);
                }
                ControllerEffect::Release(_) if self.leader == Some(node) => self.leader = None,
                ControllerEffect::Release(_)
                | ControllerEffect::RoutingChanged
                | ControllerEffect::Notify(_) => {}
            }
        }
    }

    /// Requests a rollout. Returns whether it began, which needs the claim on its record.
    pub fn request_rollout(&mut self, node: usize) -> bool {
        let request = RolloutRequest::parse(ROLLOUT_REQUEST).expect("a valid request");
        let (now, mut effects) = (Micros(self.now), Vec::new());
        let has_begun = self.nodes[node]
            .as_mut()
            .is_some_and(|controller| controller.request(now, request, &mut effects));
        self.perform(node, effects);
        has_begun && self.leader == Some(node)
    }

    pub fn state(&self, node: usize) -> Option<&RolloutState> {
        self.nodes[node].as_ref().and_then(RolloutController::state)
    }

    /// Advances by one tick: delivers messages, ends requests and calls all controllers.
    pub fn tick(&mut self) {
        let until = self.now + TICK_INTERVAL.0;
        self.end_requests(until);
        while let Some(entry) = self.network.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = entry.key().0;
            let (to, from, message) = entry.remove();
            if self.partition[to] != self.partition[from] {
                continue;
            }
            let present = self.present(to);
            let (now, mut effects) = (Micros(self.now), Vec::new());
            if let Some(controller) = self.nodes[to].as_mut() {
                controller.on_message(now, from as u16, message, &present, &mut effects);
            }
            self.perform(to, effects);
        }
        self.now = until;
        if self.leader.is_some_and(|leader| !self.has_majority(leader)) {
            self.leader = None; // The leader's lease expires.
        }
        for node in 0..self.nodes.len() {
            let present = self.present(node);
            let (now, mut effects) = (Micros(self.now), Vec::new());
            let is_leader = self.leader == Some(node);
            if let Some(controller) = self.nodes[node].as_mut() {
                if !is_leader && controller.claim().is_some() {
                    controller.on_claim_failed(now);
                }
                controller.tick(now, is_leader, &present, &mut effects);
            }
            self.perform(node, effects);
        }
        self.check_invariants();
    }

    pub fn end_requests(&mut self, until: u64) {
        for node in 0..self.nodes.len() {
            let Some(state) = self.state(node).cloned() else { continue };
            let Some(mut controller) = self.nodes[node].take() else { continue };
            let sent = (self.requests_per_second * (until - self.now) as f64 / 1e6).round() as usize;
            for i in 0..sent {
                let customer = self.rng.random_range(0..self.customers);
                let assignment_hash = customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ state.key.id;
                let bucket = assignment_hash.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40;
                let arm = if bucket % 10_000 < u64::from(state.canary_share()) {
                    Arm::Canary
                } else {
                    Arm::Baseline
                };
                let class = (customer % 3) as u16;
                let failed = self.rng.random_bool((self.failure_rate)(arm, node % 2, class, self.now));
                let outcome = match (failed, self.rng.random_bool(0.5)) {
                    (false, _) => RequestOutcome::OnTime,
                    (true, true) => RequestOutcome::Late,
                    (true, false) => RequestOutcome::Failed,
                };
                let at = self.now + (until - self.now) * i as u64 / sent as u64;
                controller.record_outcome(Micros(at), state.key, class, arm, outcome, 0.5);
            }
            self.nodes[node] = Some(controller);
        }
    }

    /// Checks the invariants that hold at every moment and records violations.
    pub fn check_invariants(&mut self) {
        let running_nodes: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()).collect();
        // Another partition may still run an older rollout; within one partition two never run for long.
        let running = |partition: usize| -> BTreeSet<u64> {
            let here = running_nodes
                .iter()
                .filter(|index| self.partition[**index] == partition)
                .filter_map(|index| self.state(*index));
            here.filter(|state| state.end.is_none() && state.stage > 0).map(|state| state.key.id).collect()
        };
        match running(0).len() > 1 || running(1).len() > 1 {
            true => self.concurrent_rollouts_us += TICK_INTERVAL.0,
            false => self.concurrent_rollouts_us = 0,
        }
        if self.concurrent_rollouts_us > 3_000 * MS {
            self.violations.push(format!("{}: two rollouts run", self.now));
        }
        if self.partition.iter().any(|partition| *partition > 0) {
            self.ended_at.clear();
            return;
        }
        for state in running_nodes
            .iter()
            .filter_map(|index| self.state(*index))
            .filter(|state| state.end.is_some())
            .cloned()
            .collect::<Vec<_>>()
        {
            self.ended_at.entry(state.key.id).or_insert(self.now);
        }
        for node in running_nodes {
            let Some(state) = self.state(node).filter(|state| state.end.is_none()) else { continue };
            let Some(at) = self.ended_at.get(&state.key.id) else { continue };
            if self.now - (*at).max(self.started_at[node]) > 3_000 * MS {
                self.violations.push(format!("{}: g{node} still runs a rollout 3 s after its end", self.now));
            }
        }
    }

    pub fn statuses(&self) -> Vec<RolloutStatus> {
        let report = |index: usize| {
            self.nodes[index].as_ref().and_then(|controller| controller.report(Micros(self.now)))
        };
        (0..self.nodes.len()).filter_map(report).map(|report| report.state).collect()
    }

    /// Runs until the rollout has ended at all nodes, or for at most `seconds`.
    pub fn run_until_ended(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.tick();
            let is_over = self.statuses().iter().all(|state| *state != RolloutStatus::Running);
            if is_over && !self.statuses().is_empty() {
                return;
            }
        }
    }
}
