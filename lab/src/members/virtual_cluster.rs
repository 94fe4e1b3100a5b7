//! A cluster of nodes under virtual time.

use crate::members::event_queue::EventQueue;
use crate::members::network::{CutPaths, NetworkConditions};
use quota_gateway::cluster::{
    ClusterNode, ClusterNotice, Effect, Event, MemberMetadata, Micros, QuotaShares, Settings, TICK_INTERVAL,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The most datagrams that wait for a paused process, as in its socket's buffer; more are lost.
const MAX_BACKLOG: usize = 256;
/// More events than this for a node in a second are a storm that would never end.
const MAX_EVENTS_PER_NODE_SECOND: f64 = 1000.0;
/// The wall clock at the start.
const WALL_CLOCK_AT_START: Micros = Micros(1_790_000_000_000_000);
/// The port at which every node begins.
const FIRST_PORT: u16 = 7946;
/// The zones over which nodes are dealt out.
const ZONES: usize = 3;
/// Where datagrams come from that no member sent.
const OUTSIDER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 255, 255, 255)), 9);

/// A number of seconds.
pub fn seconds(s: f64) -> Micros {
    Micros((s * 1e6).round() as u64)
}

/// Something that a node wants people to know.
#[derive(Debug, Clone)]
pub struct ObservedNotice {
    /// When.
    pub at: Micros,
    /// Which node.
    pub node: usize,
    /// What.
    pub notice: ClusterNotice,
}

/// A process of a member, or its place while none runs.
struct Process {
    name: String,
    address: SocketAddr,
    running: Option<ClusterNode>,
    /// Rises with each start, so that ticks for a process before go nowhere.
    starts: u32,
    is_paused: bool,
    /// Datagrams that wait for it while it is paused, each with its source.
    backlog: Vec<(SocketAddr, Vec<u8>)>,
    wall_clock_behind: Micros,
    /// The shares that it was told last; a paused process still uses them.
    shares: QuotaShares,
    /// The others' addresses, as it is configured.
    peers: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// One that is not started.
    fn new(node: usize, name: String, peers: BTreeMap<String, SocketAddr>) -> Process {
        Process {
            name,
            address: address(node, FIRST_PORT),
            running: None,
            starts: 0,
            is_paused: false,
            backlog: Vec::new(),
            wall_clock_behind: Micros(0),
            shares: QuotaShares::default(),
            peers,
        }
    }
}

enum VirtualEvent {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Tick { node: usize, starts: u32 },
}

/// The nodes and their network.
pub struct VirtualCluster {
    /// Now.
    pub now: Micros,
    /// What the network does.
    pub conditions: NetworkConditions,
    /// The list of seats, where quota shares are leased.
    pub seats: Vec<String>,
    /// What nodes wanted people to know.
    pub notices: Vec<ObservedNotice>,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    node_at: HashMap<SocketAddr, usize>,
    queue: EventQueue<VirtualEvent>,
    cut_paths: CutPaths,
    /// Kept to save allocations.
    effects: Vec<Effect>,
}

fn address(node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(10, (node >> 16) as u8, (node >> 8) as u8, node as u8);
    SocketAddr::new(IpAddr::V4(ip), port)
}

impl VirtualCluster {
    /// This many nodes, none of them started, that all know each other's addresses.
    pub fn new(count: usize, seed: u64) -> VirtualCluster {
        let names: Vec<String> = (0..count).map(|i| format!("g{i}")).collect();
        let peers: BTreeMap<String, SocketAddr> =
            names.iter().cloned().enumerate().map(|(i, name)| (name, address(i, FIRST_PORT))).collect();
        let processes = names.into_iter().enumerate().map(|(i, name)| Process::new(i, name, peers.clone()));
        VirtualCluster {
            now: Micros(0),
            conditions: NetworkConditions::default(),
            seats: Vec::new(),
            notices: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            processes: processes.collect(),
            node_at: (0..count).map(|i| (address(i, FIRST_PORT), i)).collect(),
            queue: EventQueue::default(),
            cut_paths: CutPaths::default(),
            effects: Vec::new(),
        }
    }

    /// How many nodes there are.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// A random number below this.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }

    /// A node that runs.
    pub fn node(&self, node: usize) -> Option<&ClusterNode> {
        self.processes.get(node)?.running.as_ref()
    }

    /// A node's name.
    pub fn name(&self, node: usize) -> &str {
        &self.processes[node].name
    }

    /// Whether it is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        self.processes[node].is_paused
    }

    /// All that run and are not paused.
    pub fn awake(&self) -> Vec<usize> {
        let is_awake = |i: &usize| self.processes[*i].running.is_some() && !self.processes[*i].is_paused;
        (0..self.processes.len()).filter(is_awake).collect()
    }

    /// Adds a process under the name of another node, at an address of its own.
    pub fn add_duplicate(&mut self, of: usize) -> usize {
        let node = self.processes.len();
        let original = &self.processes[of];
        let duplicate = Process::new(node, original.name.clone(), original.peers.clone());
        self.node_at.insert(duplicate.address, node);
        self.processes.push(duplicate);
        node
    }

    /// The node has another address from now on; only the configurations of `informed` follow.
    pub fn move_address(&mut self, node: usize, informed: &[usize]) {
        let process = &mut self.processes[node];
        self.node_at.remove(&process.address);
        process.address = address(node, process.address.port() + 1);
        let (new_address, name) = (process.address, process.name.clone());
        self.node_at.insert(new_address, node);
        for &other in informed {
            self.processes[other].peers.insert(name.clone(), new_address);
            let addresses = self.processes[other].peers.clone();
            self.handle(other, Event::PeerAddressesChanged { addresses });
        }
    }

    /// Its wall clock is set back by this much from its next start on.
    pub fn set_wall_clock_back(&mut self, node: usize, by: Micros) {
        self.processes[node].wall_clock_behind = by;
    }

    fn settings(&self, node: usize) -> Settings {
        let process = &self.processes[node];
        Settings {
            cluster: "virtual".into(),
            name: process.name.clone(),
            metadata: MemberMetadata {
                zone: format!("z{}", node % ZONES),
                version: "1.0.0".into(),
                capabilities: 1,
                advertise: Some(process.address),
            },
            peers: process.peers.clone(),
            probe_period: Duration::from_secs(1),
            seats: self.seats.clone(),
            ledger: None,
            baseline_rules: None,
            write_queue: None,
            storage_machine: None,
        }
    }

    /// Starts a process.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random::<u64>();
        let settings = self.settings(node);
        let process = &mut self.processes[node];
        let wall_clock = WALL_CLOCK_AT_START + self.now - process.wall_clock_behind;
        let running = ClusterNode::new(settings, self.now, wall_clock, seed).expect("sound settings");
        process.running = Some(running);
        process.starts += 1;
        process.is_paused = false;
        process.shares = QuotaShares::default();
        process.backlog.clear();
        let starts = process.starts;
        let first_tick = self.now + Micros(self.rng.random_range(0..TICK_INTERVAL.0));
        self.queue.schedule(first_tick, VirtualEvent::Tick { node, starts });
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, node: usize) {
        let process = &mut self.processes[node];
        process.running = None;
        process.is_paused = false;
        process.shares = QuotaShares::default();
        process.backlog.clear();
    }

    /// A process leaves on purpose. It runs on until `kill`.
    pub fn leave(&mut self, node: usize) {
        self.handle(node, Event::Leave);
    }

    /// Stops a process.
    pub fn pause(&mut self, node: usize) {
        let process = &mut self.processes[node];
        process.is_paused = process.running.is_some();
    }

    /// Lets a paused process go on: it reads its backlog first.
    pub fn resume(&mut self, node: usize) {
        let process = &mut self.processes[node];
        if !std::mem::take(&mut process.is_paused) {
            return;
        }
        for (from, bytes) in std::mem::take(&mut process.backlog) {
            self.handle(node, Event::Datagram { from, bytes: &bytes });
        }
        self.handle(node, Event::Tick);
    }

    /// Nothing crosses from one node to the other from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut_paths.cut(from, to);
    }

    /// Nothing crosses between any two of these groups from now on.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        self.cut_paths.partition(groups);
    }

    /// Everything crosses again.
    pub fn heal(&mut self) {
        self.cut_paths.heal();
    }

    /// A datagram that no member sent arrives.
    pub fn inject(&mut self, to: usize, bytes: &[u8]) {
        self.handle(to, Event::Datagram { from: OUTSIDER, bytes });
    }

    /// Gives an event to a node, and carries out what it wants done.
    fn handle(&mut self, node: usize, event: Event<'_>) {
        let mut effects = std::mem::take(&mut self.effects);
        if let Some(running) = self.processes[node].running.as_mut() {
            running.handle(self.now, event, &mut effects);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to, bytes } => self.send(node, to, &bytes),
                Effect::Notify(notice) => self.notices.push(ObservedNotice { at: self.now, node, notice }),
                Effect::QuotaSharesChanged(shares) => self.processes[node].shares = shares,
                // These nodes have no ledger, no storage, no write queue and no rollouts.
                Effect::ClaimResolved { .. }
                | Effect::RoutingChanged(_)
                | Effect::RolloutNotice(_)
                | Effect::RolloutStarted { .. }
                | Effect::PersistBatch { .. }
                | Effect::RequestAbandoned(_)
                | Effect::WriteQueue(_) => {}
            }
        }
        self.effects = effects;
    }

    fn send(&mut self, from: usize, address: SocketAddr, bytes: &[u8]) {
        let Some(&to) = self.node_at.get(&address) else { return };
        for delay in self.conditions.deliveries(&mut self.rng) {
            let datagram = VirtualEvent::Datagram { from, to, bytes: bytes.to_vec() };
            self.queue.schedule(self.now + delay, datagram);
        }
    }

    /// Lets time pass until then.
    ///
    /// # Panics
    ///
    /// On a storm of messages, which would never end.
    pub fn run_until(&mut self, until: Micros) {
        let span = (until - self.now).secs() + 1.0;
        let most_new = (span * self.processes.len() as f64 * MAX_EVENTS_PER_NODE_SECOND) as u64;
        let most = self.queue.scheduled() + most_new;
        while let Some((at, event)) = self.queue.pop_due(until) {
            assert!(self.queue.scheduled() <= most, "a storm of messages at {} s", self.now.secs());
            self.now = at;
            match event {
                VirtualEvent::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
                VirtualEvent::Tick { node, starts } => self.tick(node, starts),
            }
        }
        self.now = self.now.max(until);
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        // A cut takes what is under way with it.
        if self.cut_paths.is_cut(from, to) {
            return;
        }
        let source = self.processes[from].address;
        let process = &mut self.processes[to];
        if !process.is_paused {
            self.handle(to, Event::Datagram { from: source, bytes: &bytes });
        } else if process.backlog.len() < MAX_BACKLOG {
            process.backlog.push((source, bytes));
        }
    }

    fn tick(&mut self, node: usize, starts: u32) {
        let process = &self.processes[node];
        if process.starts != starts || process.running.is_none() {
            return;
        }
        if !process.is_paused {
            self.handle(node, Event::Tick);
        }
        self.queue.schedule(self.now + TICK_INTERVAL, VirtualEvent::Tick { node, starts });
    }

    /// Lets this much time pass.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// The lent parts of quota shares that are in force now for a customer that comes through these seats, as a
    /// fraction of all: each seat's own, and its part of those that are free. Two processes of one seat both count.
    pub fn shares_in_force(&self, seats: &[usize]) -> f64 {
        self.processes.iter().filter_map(|process| self.share_in_force(process, seats)).sum()
    }

    fn share_in_force(&self, process: &Process, seats: &[usize]) -> Option<f64> {
        let seat = self.seats.iter().position(|seat| *seat == process.name)?;
        if !seats.contains(&seat) || self.now >= process.shares.until {
            return None;
        }
        let free = process.shares.free_seats.iter().filter(|seat| seats.contains(&(**seat as usize))).count();
        Some(1.0 / (seats.len() as f64 - free as f64))
    }

    /// Whether each that runs takes exactly those that run for present.
    pub fn is_converged(&self) -> bool {
        let awake = self.awake();
        let names: BTreeSet<&str> = awake.iter().map(|&i| self.name(i)).collect();
        awake.iter().all(|&i| {
            let Some(node) = self.node(i) else { return false };
            let present = node.records().filter(|record| record.state.is_present());
            let mut known: BTreeSet<&str> = present.map(|record| &*record.identity.name).collect();
            known.insert(self.name(i));
            known == names
        })
    }
}
