//! A cluster under virtual time: the real controllers, a network that loses, doubles, delays and partitions, gateways that
//! die, and requests whose failure rates each test sets.

use quota_gateway::cluster::rollout::{
    Arm, ControllerEffect, RequestOutcome, RolloutController, RolloutMessage, RolloutRequest, RolloutState,
    RolloutStatus, TICK_INTERVAL,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const START: &str =
    "stages = [1, 5, 25, 100]\nbake_s = 5\nlongest_s = 600\nfalse_halts = 0.05\nmargin = 0.03\nleast = 150\n\
    [[rule]]\nzones = { a = 50 }\n";

/// How requests end, by arm, zone and class: the fraction that fails.
pub type FailureRate = Box<dyn Fn(Arm, usize, u16, u64) -> f64>;

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Option<RolloutController>>,
    pub born: Vec<u64>,
    pub processes: u64,
    /// Messages under way, by when they come: to, from, what.
    pub net: BTreeMap<(u64, u64), (usize, usize, RolloutMessage)>,
    pub sent: u64,
    /// Groups that hear each other alone; nobody is cut off where all are 0.
    pub partition: Vec<usize>,
    pub loss: f64,
    pub double: f64,
    /// Who may hold the record: one at a time, as the ledger sees to it.
    pub leader: Option<usize>,
    pub per_s: f64,
    pub customers: u64,
    pub failure_rate: FailureRate,
    /// When each rollout's end was known to anybody, while none is cut off.
    pub ended_at: BTreeMap<u64, u64>,
    /// For how long two rollouts have been in force on one partition.
    pub two_for: u64,
    pub violations: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize, failure_rate: FailureRate) -> Simulation {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: (0..nodes).map(|_| None).collect(),
            born: vec![0; nodes],
            processes: 0,
            net: BTreeMap::new(),
            sent: 0,
            partition: vec![0; nodes],
            loss: 0.02,
            double: 0.02,
            leader: None,
            per_s: 30.0,
            customers: 4000,
            failure_rate,
            ended_at: BTreeMap::new(),
            two_for: 0,
            violations: Vec::new(),
        };
        (0..nodes).for_each(|node| simulation.start_node(node));
        (0..8).for_each(|_| simulation.tick());
        simulation
    }

    pub fn start_node(&mut self, node: usize) {
        self.processes += 1;
        let zone = ["a", "b"][node % 2].to_string();
        let process = 77 + self.processes;
        let controller = RolloutController::new(
            node as u16,
            self.nodes.len(),
            zone,
            Default::default(),
            process,
            Micros(self.now),
        );
        (self.nodes[node], self.born[node]) = (Some(controller), self.now);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        if self.leader == Some(node) {
            self.leader = None;
        }
    }

    /// Who takes part, as a node sees it: those on its partition that live.
    pub fn present(&self, node: usize) -> Vec<u16> {
        let there =
            |other: &usize| self.nodes[*other].is_some() && self.partition[*other] == self.partition[node];
        (0..self.nodes.len()).filter(there).map(|other| other as u16).collect()
    }

    pub fn majority(&self, node: usize) -> bool {
        self.present(node).len() * 2 > self.nodes.len()
    }

    pub fn perform(&mut self, node: usize, effects: Vec<ControllerEffect>) {
        for effect in effects {
            match effect {
                ControllerEffect::Send { to, message } => {
                    let copies = 1 + usize::from(self.rng.random_bool(self.double));
                    for _ in 0..copies {
                        if self.rng.random_bool(self.loss) {
                            continue;
                        }
                        let at = self.now + self.rng.random_range(200..20 * MS);
                        self.sent += 1;
                        self.net.insert((at, self.sent), (usize::from(to), node, message.clone()));
                    }
                }
                ControllerEffect::Claim => {
                    // The ledger: more than half of the replicas, one owner.
                    let free = self.leader.is_none() && self.majority(node);
                    let now = Micros(self.now);
                    let present = self.present(node);
                    let mut more = Vec::new();
                    if let Some(controller) = self.nodes[node].as_mut() {
                        match free {
                            true => {
                                controller.set_claim(Some(1));
                                controller.on_claim_confirmed(now, &present, &mut more);
                                self.leader = Some(node);
                            }
                            false => drop(controller.on_claim_failed(now)),
                        }
                    }
                    self.perform(node, more);
                }
                ControllerEffect::Release(_) if self.leader == Some(node) => self.leader = None,
                ControllerEffect::Release(_)
                | ControllerEffect::RoutingChanged
                | ControllerEffect::Notify(_) => {}
            }
        }
    }

    /// Whether a rollout has begun: its record was to be had.
    pub fn request_rollout(&mut self, node: usize) -> bool {
        let start = RolloutRequest::parse(START).expect("sound");
        let (now, mut effects) = (Micros(self.now), Vec::new());
        let begun = self.nodes[node].as_mut().is_some_and(|s| s.request(now, start, &mut effects));
        self.perform(node, effects);
        begun && self.leader == Some(node)
    }

    pub fn state(&self, node: usize) -> Option<&RolloutState> {
        self.nodes[node].as_ref().and_then(RolloutController::state)
    }

    /// Half a second goes by: what is under way comes, requests end, all controllers are called.
    pub fn tick(&mut self) {
        let until = self.now + TICK_INTERVAL.0;
        self.requests(until);
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= until) {
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
        if self.leader.is_some_and(|leader| !self.majority(leader)) {
            self.leader = None; // Its lease runs out.
        }
        for node in 0..self.nodes.len() {
            let present = self.present(node);
            let (now, mut effects) = (Micros(self.now), Vec::new());
            let leads = self.leader == Some(node);
            if let Some(controller) = self.nodes[node].as_mut() {
                if !leads && controller.claim().is_some() {
                    controller.on_claim_failed(now);
                }
                controller.tick(now, leads, &present, &mut effects);
            }
            self.perform(node, effects);
        }
        self.check_invariants();
    }

    pub fn requests(&mut self, until: u64) {
        for node in 0..self.nodes.len() {
            let Some(state) = self.state(node).cloned() else { continue };
            let Some(mut controller) = self.nodes[node].take() else { continue };
            let sent = (self.per_s * (until - self.now) as f64 / 1e6).round() as usize;
            for i in 0..sent {
                let customer = self.rng.random_range(0..self.customers);
                let dealt = customer.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ state.key.id;
                let new = dealt.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 40;
                let arm =
                    if new % 10_000 < u64::from(state.canary_share()) { Arm::Canary } else { Arm::Baseline };
                let class = (customer % 3) as u16;
                let bad = self.rng.random_bool((self.failure_rate)(arm, node % 2, class, self.now));
                let ended = match (bad, self.rng.random_bool(0.5)) {
                    (false, _) => RequestOutcome::OnTime,
                    (true, true) => RequestOutcome::Late,
                    (true, false) => RequestOutcome::Failed,
                };
                let at = self.now + (until - self.now) * i as u64 / sent as u64;
                controller.record_outcome(Micros(at), state.key, class, arm, ended, 0.5);
            }
            self.nodes[node] = Some(controller);
        }
    }

    /// What must hold at every moment.
    pub fn check_invariants(&mut self) {
        let live: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        // Beyond a cut an older rollout may go on; where all hear each other two are never in force for long.
        let running = |partition: usize| -> BTreeSet<u64> {
            let here =
                live.iter().filter(|n| self.partition[**n] == partition).filter_map(|n| self.state(*n));
            here.filter(|o| o.end.is_none() && o.stage > 0).map(|o| o.key.id).collect()
        };
        match running(0).len() > 1 || running(1).len() > 1 {
            true => self.two_for += TICK_INTERVAL.0,
            false => self.two_for = 0,
        }
        if self.two_for > 3_000 * MS {
            self.violations.push(format!("{}: two rollouts run", self.now));
        }
        if self.partition.iter().any(|partition| *partition > 0) {
            self.ended_at.clear();
            return;
        }
        for state in live
            .iter()
            .filter_map(|n| self.state(*n))
            .filter(|o| o.end.is_some())
            .cloned()
            .collect::<Vec<_>>()
        {
            self.ended_at.entry(state.key.id).or_insert(self.now);
        }
        for node in live {
            let Some(state) = self.state(node).filter(|o| o.end.is_none()) else { continue };
            let Some(at) = self.ended_at.get(&state.key.id) else { continue };
            if self.now - (*at).max(self.born[node]) > 3_000 * MS {
                self.violations.push(format!("{}: g{node} goes on 3 s after the end", self.now));
            }
        }
    }

    pub fn statuses(&self) -> Vec<RolloutStatus> {
        let report = |n: usize| self.nodes[n].as_ref().and_then(|s| s.report(Micros(self.now)));
        (0..self.nodes.len()).filter_map(report).map(|r| r.state).collect()
    }

    /// Plays until the rollout has ended at all, or for so long.
    pub fn run_until_ended(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.tick();
            let over = self.statuses().iter().all(|s| *s != RolloutStatus::Running);
            if over && !self.statuses().is_empty() {
                return;
            }
        }
    }
}
