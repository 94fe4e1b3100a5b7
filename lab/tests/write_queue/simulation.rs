//! A branch under virtual time: the real replicas, a network that loses, doubles and delays, an uplink that is cut, gateways
//! that die and forget. Clients write, each its next once the last was accepted, and the backends see what runs when.

use quota_gateway::cluster::write_queue::{
    Dot, ForwardOutcome, QueueEffect, QueueMessage, QueueReplica, WriteOutcome, WriteQueueSettings,
    WriteRequest, WriteState, WriteStatus,
};
use quota_gateway::cluster::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const TICK: u64 = 20 * MS;

/// One write as its client and the backends saw it.
#[derive(Debug, Default, Clone)]
pub struct ObservedWrite {
    pub customer: u64,
    pub object: u64,
    pub asked: u64,
    pub accepted: Option<u64>,
    pub rejected: bool,
    pub ran: Vec<u64>,
}

pub enum InFlight {
    Message(usize, usize, QueueMessage),
    /// A forwarded write ends: at whom, which process, which attempt, how.
    Forward(usize, u64, Dot, u16, ForwardOutcome),
}

pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Option<QueueReplica>>,
    pub processes: Vec<u64>,
    pub net: BTreeMap<(u64, u64), InFlight>,
    pub sent: u64,
    pub loss: f64,
    pub isolated: bool,
    pub leader: Option<usize>,
    /// By customer, whether a write of its is under way.
    pub customers_waiting: BTreeSet<u64>,
    pub writes: BTreeMap<Dot, ObservedWrite>,
    /// Writes that a leader died over while they were in flight.
    pub maybe_repeated: BTreeSet<Dot>,
    /// So many sends are carried in 100 ms, where there is a bound; then in which window how many were; how many were rejected.
    pub capacity_per_100_ms: Option<u64>,
    pub carried: (u64, u64),
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
            net: BTreeMap::new(),
            sent: 0,
            loss: 0.02,
            isolated: false,
            leader: None,
            customers_waiting: BTreeSet::new(),
            writes: BTreeMap::new(),
            maybe_repeated: BTreeSet::new(),
            capacity_per_100_ms: None,
            carried: (0, 0),
            rejected: 0,
        };
        (0..nodes).for_each(|node| simulation.start(node));
        simulation.pass(8_000);
        assert!(
            simulation.nodes.iter().flatten().all(QueueReplica::has_vote),
            "a branch that begins has its votes"
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

    pub fn later(&mut self, after: u64, post: InFlight) {
        self.sent += 1;
        self.net.insert((self.now + after, self.sent), post);
    }

    pub fn perform(&mut self, node: usize, effects: Vec<QueueEffect>) {
        for effect in effects {
            match effect {
                QueueEffect::Send { to, message } => {
                    let copies = 1 + usize::from(self.rng.random_bool(0.02));
                    for _ in 0..copies {
                        if !self.rng.random_bool(self.loss) {
                            let after = self.rng.random_range(200..8 * MS);
                            self.later(after, InFlight::Message(usize::from(to), node, message.clone()));
                        }
                    }
                }
                QueueEffect::AcceptanceDecided { dot, accepted: yes } => {
                    let now = self.now;
                    if let Some(observed) = self.writes.get_mut(&dot) {
                        (observed.accepted, observed.rejected) = (yes.then_some(now), !yes);
                        self.customers_waiting.remove(&observed.customer);
                    }
                }
                // The lease is looked at just before.
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

    /// A write goes to the backends, if they are reachable and have the capacity.
    pub fn forward(&mut self, node: usize, dot: Dot, attempt: u16, may_have_been_executed: bool) {
        let window = self.now / (100 * MS);
        let before_it = if self.carried.0 == window { self.carried.1 } else { 0 };
        self.carried = (window, before_it + 1);
        let full = self.capacity_per_100_ms.is_some_and(|most| before_it >= most);
        self.rejected += u64::from(full);
        let outcome = match self.isolated || full {
            true => ForwardOutcome::NotExecuted,
            // Backends drop the repeat of what ran.
            false => ForwardOutcome::Answered(200),
        };
        let after = self.rng.random_range(5 * MS..60 * MS);
        let ran = self.now + after / 2;
        if let (ForwardOutcome::Answered(_), Some(observed)) = (outcome, self.writes.get_mut(&dot)) {
            if may_have_been_executed {
                self.maybe_repeated.insert(dot);
            }
            observed.ran.push(ran);
        }
        self.later(after, InFlight::Forward(node, self.processes[node], dot, attempt, outcome));
    }

    pub fn tick_all(&mut self) {
        let until = self.now + TICK;
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= until) {
            self.now = entry.key().0;
            let (now, mut effects) = (Micros(self.now), Vec::new());
            let (to, told) = match entry.remove() {
                InFlight::Message(to, from, message) => {
                    let replica = self.nodes[to].as_mut();
                    replica
                        .into_iter()
                        .for_each(|c| c.on_message(now, from as u16, message.clone(), &mut effects));
                    (to, effects)
                }
                InFlight::Forward(node, process, dot, tries, outcome) => {
                    let replica = self.nodes[node].as_mut().filter(|_| self.processes[node] == process);
                    replica.into_iter().for_each(|c| c.on_forwarded(now, dot, tries, outcome, &mut effects));
                    (node, effects)
                }
            };
            self.perform(to, told);
        }
        self.now = until;
        let live: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        if self.leader.is_none() && live.len() * 2 > self.nodes.len() && self.rng.random_bool(0.05) {
            self.leader = Some(live[self.rng.random_range(0..live.len())]);
        }
        for node in live {
            let leads = self.leader == Some(node);
            let (now, answered, mut effects) = (Micros(self.now), !self.isolated, Vec::new());
            if let Some(replica) = self.nodes[node].as_mut() {
                replica.record_attempt(now, answered);
                replica.tick(now, leads, leads, &mut effects);
            }
            self.perform(node, effects);
        }
    }

    pub fn pass(&mut self, ms: u64) {
        (0..ms * MS / TICK).for_each(|_| self.tick_all());
    }

    /// A client writes through a gateway, if its last write is accepted or rejected. Whether the branch took it on.
    pub fn write(&mut self, node: usize, customer: u64, object: u64) -> bool {
        if self.customers_waiting.contains(&customer) {
            return false;
        }
        let (now, mut effects) = (Micros(self.now), Vec::new());
        let Some(replica) = self.nodes[node].as_mut() else { return false };
        if !replica.should_queue(customer, object) {
            return false;
        }
        let request = WriteRequest { customer, object, class: 0, key: 0, payload: vec![7; 40] };
        let Some(dot) = replica.accept(now, request, &mut effects) else {
            return false;
        };
        self.customers_waiting.insert(customer);
        self.writes
            .insert(dot, ObservedWrite { customer, object, asked: self.now, ..ObservedWrite::default() });
        self.perform(node, effects);
        true
    }

    pub fn status(&self, dot: Dot) -> Option<WriteState> {
        self.nodes.iter().flatten().find_map(|replica| match replica.status(dot) {
            WriteStatus::Known(state) => Some(state),
            WriteStatus::Lost => None,
        })
    }

    /// What was promised, from what clients and backends saw.
    pub fn check(&self) -> Result<usize, String> {
        let mut order = 0;
        for (dot, observed) in &self.writes {
            if observed.rejected && !observed.ran.is_empty() {
                return Err(format!("{dot} was rejected and ran"));
            }
            if observed.ran.len() > 1 && !self.maybe_repeated.contains(dot) {
                return Err(format!("{dot} ran {} times", observed.ran.len()));
            }
            let Some(accepted) = observed.accepted else { continue };
            match self.status(*dot) {
                Some(WriteState::Ended(WriteOutcome::Completed(_))) if !observed.ran.is_empty() => {}
                Some(WriteState::Ended(WriteOutcome::Superseded(by))) => {
                    let rival = self.writes.get(&by).ok_or("superseded by nobody")?;
                    // Both were under way at one time.
                    if rival.object != observed.object || rival.asked > accepted {
                        return Err(format!("{dot} was superseded by {by}, which came after it"));
                    }
                }
                state => return Err(format!("{dot} was accepted and is {state:?}, ran {:?}", observed.ran)),
            }
            for (other, later) in &self.writes {
                let related = later.customer == observed.customer || later.object == observed.object;
                if !related || later.asked <= accepted {
                    continue;
                }
                if let (Some(first), Some(then)) = (observed.ran.first(), later.ran.first()) {
                    order += 1;
                    if first > then {
                        return Err(format!("{other} ran before {dot}, which it came after"));
                    }
                }
            }
        }
        Ok(order)
    }

    /// Whether nothing waits.
    pub fn settled(&self) -> bool {
        self.nodes.iter().flatten().all(|replica| replica.log().pending_count() == 0)
    }
}
