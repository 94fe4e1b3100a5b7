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

/// Maximum datagrams queued for a paused process, as in a socket buffer; further ones are dropped.
const MAX_BACKLOG: usize = 256;
/// Maximum events per node and second; more are taken for a message flood that would never end.
const MAX_EVENTS_PER_NODE_SECOND: f64 = 1000.0;
/// Wall clock at the start.
const WALL_CLOCK_AT_START: Micros = Micros(1_790_000_000_000_000);
/// Initial port of every node.
const FIRST_PORT: u16 = 7946;
/// Number of zones, to which the nodes are assigned round-robin.
const ZONES: usize = 3;
/// Source address of injected datagrams, which no member sent.
const OUTSIDER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 255, 255, 255)), 9);

/// Converts seconds to microseconds.
pub fn seconds(s: f64) -> Micros {
    Micros((s * 1e6).round() as u64)
}

/// A notice that a node emitted.
#[derive(Debug, Clone)]
pub struct ObservedNotice {
    /// Time of the notice.
    pub at: Micros,
    /// Node that emitted the notice.
    pub node: usize,
    /// Content.
    pub notice: ClusterNotice,
}

/// The process of a member, running or not.
struct Process {
    name: String,
    address: SocketAddr,
    running: Option<ClusterNode>,
    /// Number of starts; ticks scheduled for an earlier process carry an older number and are ignored.
    starts: u32,
    is_paused: bool,
    /// Datagrams queued while the process is paused, each with its source.
    backlog: Vec<(SocketAddr, Vec<u8>)>,
    wall_clock_behind: Micros,
    /// Last quota shares that the node reported; a paused process still uses them.
    shares: QuotaShares,
    /// Configured addresses of the peers.
    peers: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Creates a process that is not started.
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

/// A cluster of nodes and the network between them.
pub struct VirtualCluster {
    /// Current virtual time.
    pub now: Micros,
    /// Network conditions.
    pub conditions: NetworkConditions,
    /// Configured seats; empty if no quota shares are leased.
    pub seats: Vec<String>,
    /// Notices that the nodes emitted.
    pub notices: Vec<ObservedNotice>,
    rng: ChaCha8Rng,
    processes: Vec<Process>,
    node_by_address: HashMap<SocketAddr, usize>,
    queue: EventQueue<VirtualEvent>,
    cut_paths: CutPaths,
    /// Buffer that is reused to avoid allocations.
    effects: Vec<Effect>,
}

fn address(node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(10, (node >> 16) as u8, (node >> 8) as u8, node as u8);
    SocketAddr::new(IpAddr::V4(ip), port)
}

impl VirtualCluster {
    /// Creates `count` nodes that are not started and are configured with each other's addresses.
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
            node_by_address: (0..count).map(|i| (address(i, FIRST_PORT), i)).collect(),
            queue: EventQueue::default(),
            cut_paths: CutPaths::default(),
            effects: Vec::new(),
        }
    }

    /// Returns the number of nodes.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Draws a random number below `below`.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }

    /// Returns a node if its process runs.
    pub fn node(&self, node: usize) -> Option<&ClusterNode> {
        self.processes.get(node)?.running.as_ref()
    }

    /// Returns the name of a node.
    pub fn name(&self, node: usize) -> &str {
        &self.processes[node].name
    }

    /// Whether a node is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        self.processes[node].is_paused
    }

    /// Returns the nodes that run and are not paused.
    pub fn awake(&self) -> Vec<usize> {
        let is_awake = |i: &usize| self.processes[*i].running.is_some() && !self.processes[*i].is_paused;
        (0..self.processes.len()).filter(is_awake).collect()
    }

    /// Adds a process with the name of another node, at a separate address.
    pub fn add_duplicate(&mut self, original_node: usize) -> usize {
        let node = self.processes.len();
        let original = &self.processes[original_node];
        let duplicate = Process::new(node, original.name.clone(), original.peers.clone());
        self.node_by_address.insert(duplicate.address, node);
        self.processes.push(duplicate);
        node
    }

    /// Moves a node to a new address; only the configurations of `informed` are updated.
    pub fn move_address(&mut self, node: usize, informed: &[usize]) {
        let process = &mut self.processes[node];
        self.node_by_address.remove(&process.address);
        process.address = address(node, process.address.port() + 1);
        let (new_address, name) = (process.address, process.name.clone());
        self.node_by_address.insert(new_address, node);
        for &other in informed {
            self.processes[other].peers.insert(name.clone(), new_address);
            let addresses = self.processes[other].peers.clone();
            self.handle(other, Event::PeerAddressesChanged { addresses });
        }
    }

    /// Sets the wall clock of a node back by `offset`, from its next start on.
    pub fn set_wall_clock_back(&mut self, node: usize, offset: Micros) {
        self.processes[node].wall_clock_behind = offset;
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

    /// Starts a new process of a node.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.random::<u64>();
        let settings = self.settings(node);
        let process = &mut self.processes[node];
        let wall_clock = WALL_CLOCK_AT_START + self.now - process.wall_clock_behind;
        let running = ClusterNode::new(settings, self.now, wall_clock, seed).expect("valid settings");
        process.running = Some(running);
        process.starts += 1;
        process.is_paused = false;
        process.shares = QuotaShares::default();
        process.backlog.clear();
        let starts = process.starts;
        let first_tick = self.now + Micros(self.rng.random_range(0..TICK_INTERVAL.0));
        self.queue.schedule(first_tick, VirtualEvent::Tick { node, starts });
    }

    /// Ends a process abruptly.
    pub fn kill(&mut self, node: usize) {
        let process = &mut self.processes[node];
        process.running = None;
        process.is_paused = false;
        process.shares = QuotaShares::default();
        process.backlog.clear();
    }

    /// Makes a process leave the cluster; it keeps running until `kill`.
    pub fn leave(&mut self, node: usize) {
        self.handle(node, Event::Leave);
    }

    /// Pauses a process.
    pub fn pause(&mut self, node: usize) {
        let process = &mut self.processes[node];
        process.is_paused = process.running.is_some();
    }

    /// Resumes a paused process, which reads its backlog first.
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

    /// Drops all datagrams from one node to another from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut_paths.cut(from, to);
    }

    /// Drops all datagrams between different groups from now on.
    pub fn partition(&mut self, groups: &[Vec<usize>]) {
        self.cut_paths.partition(groups);
    }

    /// Restores all paths.
    pub fn heal(&mut self) {
        self.cut_paths.heal();
    }

    /// Delivers a datagram that no member sent.
    pub fn inject(&mut self, to: usize, bytes: &[u8]) {
        self.handle(to, Event::Datagram { from: OUTSIDER, bytes });
    }

    /// Passes an event to a node and executes the resulting effects.
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
                | Effect::PredecessorReply { .. }
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
        let Some(&to) = self.node_by_address.get(&address) else { return };
        for delay in self.conditions.deliveries(&mut self.rng) {
            let datagram = VirtualEvent::Datagram { from, to, bytes: bytes.to_vec() };
            self.queue.schedule(self.now + delay, datagram);
        }
    }

    /// Advances virtual time to `until`.
    ///
    /// # Panics
    ///
    /// Panics on a message flood, which would never end.
    pub fn run_until(&mut self, until: Micros) {
        let span = (until - self.now).secs() + 1.0;
        let max_new_events = (span * self.processes.len() as f64 * MAX_EVENTS_PER_NODE_SECOND) as u64;
        let max_events = self.queue.scheduled_count() + max_new_events;
        while let Some((at, event)) = self.queue.pop_due(until) {
            assert!(
                self.queue.scheduled_count() <= max_events,
                "message flood at {} s: too many events were scheduled",
                self.now.secs()
            );
            self.now = at;
            match event {
                VirtualEvent::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
                VirtualEvent::Tick { node, starts } => self.tick(node, starts),
            }
        }
        self.now = self.now.max(until);
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        // A cut also drops datagrams in flight.
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

    /// Advances virtual time by `span`.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// Returns the sum of the leased quota shares in force for a customer that uses `seats`, as a fraction of the quota:
    /// for each seat its own share and its part of those of free seats. Two processes of one seat both count.
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

    /// Whether every active node considers exactly the active nodes present.
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
