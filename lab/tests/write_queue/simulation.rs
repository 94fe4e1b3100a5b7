//! Simulation of a branch under virtual time: the production replicas, a network that loses, duplicates and
//! delays messages, an uplink that can fail, and gateways that restart without their state. Each customer
//! sends its next write once the last one was accepted or rejected; the time of each execution at the
//! backends is recorded.

use quota_gateway::cluster::write_queue::{
    Acceptance, Dot, ForwardOutcome, QueueEffect, QueueMessage, QueueReplica, WriteOutcome,
    WriteQueueSettings, WriteRequest, WriteState, WriteStatus,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const TICK: u64 = 20 * MS;

/// One write as observed by its client and the backends.
#[derive(Debug, Default, Clone)]
pub struct ObservedWrite {
    pub customer: u64,
    pub object: u64,
    pub requested_at: u64,
    pub accepted: Option<u64>,
    pub rejected: bool,
    pub executions: Vec<u64>,
}

impl ObservedWrite {
    /// Records what the client was told. A write that is not confirmed may run.
    pub fn decide(&mut self, now: u64, acceptance: Acceptance) {
        match acceptance {
            Acceptance::Accepted => self.accepted = self.accepted.or(Some(now)),
            Acceptance::Rejected => self.rejected = true,
            Acceptance::Unconfirmed => {}
        }
    }
}

pub enum InFlight {
    Message(usize, usize, QueueMessage),
    /// End of a forwarded write: node, process, write, attempt, outcome.
    Forward(usize, u64, Dot, u16, ForwardOutcome),
}

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Option<QueueReplica>>,
    pub processes: Vec<u64>,
    pub network: BTreeMap<(u64, u64), InFlight>,
    pub sent: u64,
    pub loss: f64,
    pub isolated: bool,
    pub leader: Option<usize>,
    /// Node whose messages, in both directions, are lost.
    pub partitioned: Option<usize>,
    /// Customers with a write that is neither accepted nor rejected yet.
    pub customers_waiting: BTreeSet<u64>,
    pub writes: BTreeMap<Dot, ObservedWrite>,
    /// Writes forwarded again although an earlier attempt may have run, for example because its
    /// leader ended while it was in flight.
    pub may_be_repeated: BTreeSet<Dot>,
    /// Number of sends that the backends carry per 100 ms, if limited.
    pub capacity_per_100_ms: Option<u64>,
    /// Current window of 100 ms and the number of sends in it.
    pub sends_in_window: (u64, u64),
    /// Number of sends rejected for lack of capacity.
    pub rejected: u64,
}

pub fn settings(nodes: usize) -> WriteQueueSettings {
    WriteQueueSettings {
        seats: (0..nodes as u16).collect(),
        max_pending: 5000,
        max_pending_per_customer: 500,
        max_age: Micros(600_000 * MS),
        uplink_timeout: Micros(500 * MS),
        send_timeout: Micros(500 * MS),
        max_in_flight: 20,
        max_sends_per_second: 400,
        blocking_classes: vec![1],
    }
}

impl Simulation {
    pub fn new(seed: u64, nodes: usize) -> Simulation {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000 * MS,
            nodes: (0..nodes).map(|_| None).collect(),
            processes: vec![0; nodes],
            network: BTreeMap::new(),
            sent: 0,
            loss: 0.02,
            isolated: false,
            leader: None,
            partitioned: None,
            customers_waiting: BTreeSet::new(),
            writes: BTreeMap::new(),
            may_be_repeated: BTreeSet::new(),
            capacity_per_100_ms: None,
            sends_in_window: (0, 0),
            rejected: 0,
        };
        (0..nodes).for_each(|node| simulation.start(node));
        simulation.advance_ms(8_000);
        assert!(
            simulation.nodes.iter().flatten().all(QueueReplica::has_vote),
            "all replicas of a new branch have a vote"
        );
        simulation
    }

    pub fn start(&mut self, node: usize) {
        self.processes[node] = self.rng.random();
        let settings = settings(self.nodes.len());
        self.nodes[node] =
            Some(QueueReplica::new(node as u16, settings, self.processes[node], Micros(self.now)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        if self.leader == Some(node) {
            self.leader = None;
        }
    }

    pub fn schedule(&mut self, after: u64, item: InFlight) {
        self.sent += 1;
        self.network.insert((self.now + after, self.sent), item);
    }

    pub fn perform(&mut self, node: usize, effects: Vec<QueueEffect>) {
        for effect in effects {
            match effect {
                QueueEffect::Send { to, message } => {
                    let copies = 1 + usize::from(self.rng.random_bool(0.02));
                    for _ in 0..copies {
                        if !self.rng.random_bool(self.loss) {
                            let after = self.rng.random_range(200..8 * MS);
                            self.schedule(after, InFlight::Message(usize::from(to), node, message.clone()));
                        }
                    }
                }
                QueueEffect::AcceptanceDecided { dot, acceptance } => {
                    let now = self.now;
                    if let Some(observed) = self.writes.get_mut(&dot) {
                        observed.decide(now, acceptance);
                        self.customers_waiting.remove(&observed.customer);
                    }
                }
                // The lease is checked right before a write is forwarded.
                QueueEffect::Forward { write, .. } if self.leader != Some(node) => {
                    self.nodes[node].iter_mut().for_each(|replica| replica.on_forward_dropped(write.dot));
                }
                QueueEffect::Forward { write, attempt, first_sent_at } => {
                    self.forward(node, write.dot, attempt, first_sent_at.is_some());
                }
                QueueEffect::IsolationChanged { .. } | QueueEffect::NotCompleted { .. } => {}
            }
        }
    }

    /// Forwards a write to the backends, which run it if they are reachable and have capacity.
    pub fn forward(&mut self, node: usize, dot: Dot, attempt: u16, may_have_been_executed: bool) {
        let window = self.now / (100 * MS);
        let sent_before = if self.sends_in_window.0 == window { self.sends_in_window.1 } else { 0 };
        self.sends_in_window = (window, sent_before + 1);
        let is_full = self.capacity_per_100_ms.is_some_and(|limit| sent_before >= limit);
        self.rejected += u64::from(is_full);
        let outcome = match self.isolated || is_full {
            true => ForwardOutcome::NotExecuted,
            // Backends discard a repeated write that already ran.
            false => ForwardOutcome::Answered(200),
        };
        let after = self.rng.random_range(5 * MS..60 * MS);
        let runs_at = self.now + after / 2;
        if let (ForwardOutcome::Answered(_), Some(observed)) = (outcome, self.writes.get_mut(&dot)) {
            if may_have_been_executed {
                self.may_be_repeated.insert(dot);
            }
            observed.executions.push(runs_at);
        }
        self.schedule(after, InFlight::Forward(node, self.processes[node], dot, attempt, outcome));
    }

    /// Delivers the next message.
    pub fn step(&mut self) {
        let Some(entry) = self.network.first_entry() else { return self.tick_all() };
        self.now = entry.key().0;
        let (now, mut effects) = (Micros(self.now), Vec::new());
        let (to, effects) = match entry.remove() {
            InFlight::Message(to, from, message) => {
                let is_cut = self.partitioned.is_some_and(|node| node == to || node == from);
                let replica = self.nodes[to].as_mut().filter(|_| !is_cut);
                replica
                    .into_iter()
                    .for_each(|replica| replica.on_message(now, from as u16, message.clone(), &mut effects));
                (to, effects)
            }
            InFlight::Forward(node, process, dot, attempt, outcome) => {
                let replica = self.nodes[node].as_mut().filter(|_| self.processes[node] == process);
                replica
                    .into_iter()
                    .for_each(|replica| replica.on_forwarded(now, dot, attempt, outcome, &mut effects));
                (node, effects)
            }
        };
        self.perform(to, effects);
    }

    pub fn tick_all(&mut self) {
        let until = self.now + TICK;
        while self.network.first_key_value().is_some_and(|(key, _)| key.0 <= until) {
            self.step();
        }
        self.now = until;
        let running: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        if self.leader.is_none() && running.len() * 2 > self.nodes.len() && self.rng.random_bool(0.05) {
            self.leader = Some(running[self.rng.random_range(0..running.len())]);
        }
        for node in running {
            let is_leader = self.leader == Some(node);
            let (now, is_uplink_up, mut effects) = (Micros(self.now), !self.isolated, Vec::new());
            if let Some(replica) = self.nodes[node].as_mut() {
                replica.record_attempt(now, is_uplink_up);
                replica.tick(now, is_leader, is_leader, &mut effects);
            }
            self.perform(node, effects);
        }
    }

    pub fn advance_ms(&mut self, ms: u64) {
        (0..ms * MS / TICK).for_each(|_| self.tick_all());
    }

    /// Sends a client's write through a gateway, unless an earlier write of the customer is undecided.
    /// Returns whether the branch queued it.
    pub fn write(&mut self, node: usize, customer: u64, object: u64) -> bool {
        if self.customers_waiting.contains(&customer) {
            return false;
        }
        let Some(replica) = self.nodes[node].as_ref() else { return false };
        if !replica.should_queue(customer, object) {
            return false;
        }
        self.offer(node, customer, object, 0).is_some()
    }

    /// Offers a write to a gateway that queues writes. Returns its dot, which a repeat with the same key shares.
    pub fn offer(&mut self, node: usize, customer: u64, object: u64, key: u64) -> Option<Dot> {
        let (now, mut effects) = (Micros(self.now), Vec::new());
        let request = WriteRequest { customer, object, class: 0, key, payload: vec![7; 40] };
        let dot = self.nodes[node].as_mut()?.accept(now, request, &mut effects)?;
        self.customers_waiting.insert(customer);
        let requested_at = self.now;
        let observed = ObservedWrite { customer, object, requested_at, ..ObservedWrite::default() };
        self.writes.entry(dot).or_insert(observed);
        self.perform(node, effects);
        Some(dot)
    }

    pub fn status(&self, dot: Dot) -> Option<WriteState> {
        self.nodes.iter().flatten().find_map(|replica| match replica.status(dot) {
            WriteStatus::Known(state) => Some(state),
            WriteStatus::Lost => None,
        })
    }

    /// Checks the guarantees of the write queue against the observed writes. Returns the number of ordered pairs.
    pub fn check(&self) -> Result<usize, String> {
        let mut ordered_pairs = 0;
        for (dot, observed) in &self.writes {
            if observed.rejected && !observed.executions.is_empty() {
                return Err(format!("{dot} was rejected and ran"));
            }
            if observed.executions.len() > 1 && !self.may_be_repeated.contains(dot) {
                return Err(format!("{dot} ran {} times", observed.executions.len()));
            }
            let Some(accepted) = observed.accepted else { continue };
            match self.status(*dot) {
                Some(WriteState::Ended(WriteOutcome::Completed(_))) if !observed.executions.is_empty() => {}
                Some(WriteState::Ended(WriteOutcome::Superseded(by))) => {
                    let rival = self.writes.get(&by).ok_or("superseded by an unknown write")?;
                    // The two writes were concurrent.
                    if rival.object != observed.object || rival.requested_at > accepted {
                        return Err(format!(
                            "{dot} was superseded by {by}, which is not concurrent or writes another object"
                        ));
                    }
                }
                state => {
                    return Err(format!(
                        "{dot} was accepted but is {state:?}, ran at {:?}",
                        observed.executions
                    ))
                }
            }
            for (later_dot, later_write) in &self.writes {
                let related =
                    later_write.customer == observed.customer || later_write.object == observed.object;
                if !related || later_write.requested_at <= accepted {
                    continue;
                }
                if let (Some(first), Some(then)) =
                    (observed.executions.first(), later_write.executions.first())
                {
                    ordered_pairs += 1;
                    if first > then {
                        return Err(format!(
                            "{later_dot} ran before {dot}, although the former depends on the latter"
                        ));
                    }
                }
            }
        }
        Ok(ordered_pairs)
    }

    /// Whether no write is pending.
    pub fn is_drained(&self) -> bool {
        self.nodes.iter().flatten().all(|replica| replica.log().pending_count() == 0)
    }
}
