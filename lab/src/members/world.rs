//! A fleet of members under virtual time: one queue of events, one seed.

use quota_gateway::cluster::{
    ClusterNode, ClusterNotice, Effect, Event, MemberMetadata, Micros, QuotaShares, Settings, TICK_INTERVAL,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Datagrams that wait at most for a paused process, as in its socket's buffer; more are lost.
const BACKLOG: usize = 256;
/// More events than this for a member in a second are a storm.
const STORM: f64 = 1000.0;
/// The wall clock at the start.
const UNIX: u64 = 1_790_000_000_000_000;

/// A number of seconds.
pub fn seconds(s: f64) -> Micros {
    Micros((s * 1e6).round() as u64)
}

/// What the network does to every datagram.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    /// Delay between these, drawn for each datagram, so that they overtake each other.
    pub delay: (Micros, Micros),
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub doubled: f64,
}

impl Default for Weather {
    fn default() -> Weather {
        Weather { delay: (Micros(200), Micros(2_000)), loss: 0.0, doubled: 0.0 }
    }
}

/// A process of a member.
struct Node {
    name: String,
    address: SocketAddr,
    fleet: Option<ClusterNode>,
    life: u32,
    paused: bool,
    backlog: Vec<(SocketAddr, Vec<u8>)>,
    /// What its wall clock is behind by.
    behind: Micros,
    /// The shares as its module was told last; a paused process has them still.
    shares: QuotaShares,
    /// What it was told of the others' addresses.
    peers: BTreeMap<String, SocketAddr>,
}

enum What {
    Datagram(usize, usize, Vec<u8>),
    Wake(usize, u32),
}

struct Due {
    at: Micros,
    serial: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, o: &Due) -> bool {
        (self.at, self.serial) == (o.at, o.serial)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, o: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Due {
    fn cmp(&self, o: &Due) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(o.at, o.serial))
    }
}

/// The fleet and its network.
pub struct World {
    /// Now.
    pub now: Micros,
    /// What the network does.
    pub weather: Weather,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// The seats, where shares are lent.
    pub seats: Vec<String>,
    at: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<Due>>,
    serial: u64,
    /// Ways that nothing crosses, from and to.
    cuts: BTreeSet<(usize, usize)>,
    /// What members told, and when.
    pub notices: Vec<(Micros, usize, ClusterNotice)>,
    effects: Vec<Effect>,
}

fn address(node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(10, (node >> 16) as u8, (node >> 8) as u8, node as u8);
    SocketAddr::new(IpAddr::V4(ip), port)
}

impl Node {
    /// One that is not started, with what it is told of the others.
    fn new(node: usize, name: String, peers: BTreeMap<String, SocketAddr>) -> Node {
        Node {
            name,
            address: address(node, 7946),
            fleet: None,
            life: 0,
            paused: false,
            backlog: Vec::new(),
            behind: Micros(0),
            shares: QuotaShares::default(),
            peers,
        }
    }
}

impl World {
    /// So many members, none of them started, that all know each other's addresses.
    pub fn new(count: usize, seed: u64) -> World {
        let names: Vec<String> = (0..count).map(|i| format!("g{i}")).collect();
        let peers: BTreeMap<String, SocketAddr> =
            names.iter().cloned().enumerate().map(|(i, name)| (name, address(i, 7946))).collect();
        let nodes = names.into_iter().enumerate().map(|(i, name)| Node::new(i, name, peers.clone()));
        World {
            now: Micros(0),
            weather: Weather::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            seats: Vec::new(),
            at: (0..count).map(|i| (address(i, 7946), i)).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            cuts: BTreeSet::new(),
            notices: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// How many nodes there are.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }
    /// A draw of the world's.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }
    /// A member that runs.
    pub fn fleet(&self, node: usize) -> Option<&ClusterNode> {
        self.nodes.get(node)?.fleet.as_ref()
    }
    /// A node's name.
    pub fn name(&self, node: usize) -> &str {
        &self.nodes[node].name
    }
    /// Whether it is paused.
    pub fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].paused
    }
    /// All that run and are not paused.
    pub fn awake(&self) -> Vec<usize> {
        let awake = |i: &usize| self.nodes[*i].fleet.is_some() && !self.nodes[*i].paused;
        (0..self.nodes.len()).filter(awake).collect()
    }

    /// One more process under a name that another node has, at an address of its own.
    pub fn double(&mut self, of: usize) -> usize {
        let (node, name) = (self.nodes.len(), self.nodes[of].name.clone());
        let new = Node::new(node, name, self.nodes[of].peers.clone());
        self.at.insert(new.address, node);
        self.nodes.push(new);
        node
    }

    /// The node is elsewhere from now on; who is told knows it, the others do not.
    pub fn moved(&mut self, node: usize, told: &[usize]) {
        self.at.remove(&self.nodes[node].address);
        let port = self.nodes[node].address.port() + 1;
        let (address, name) = (address(node, port), self.nodes[node].name.clone());
        self.nodes[node].address = address;
        self.at.insert(address, node);
        for &other in told {
            self.nodes[other].peers.insert(name.clone(), address);
            let peers = self.nodes[other].peers.clone();
            self.give(other, Event::PeerAddressesChanged { addresses: peers });
        }
    }

    /// A node knows these others only.
    pub fn knows(&mut self, node: usize, others: &[usize]) {
        let known = others.iter().map(|&o| (self.nodes[o].name.clone(), self.nodes[o].address)).collect();
        self.nodes[node].peers = known;
    }

    /// Its wall clock is set back by so much from its next start on.
    pub fn set_back(&mut self, node: usize, by: Micros) {
        self.nodes[node].behind = by;
    }

    /// Starts a process.
    pub fn start(&mut self, node: usize) {
        let random = self.rng.random::<u64>();
        let (now, n) = (self.now, &mut self.nodes[node]);
        let metadata = MemberMetadata {
            zone: format!("z{}", node % 3),
            version: "1.0.0".into(),
            capabilities: 1,
            advertise: Some(n.address),
        };
        let settings = Settings {
            ledger: None,
            rules: None,
            branch: None,
            disk: None,
            cluster: "virtual".into(),
            name: n.name.clone(),
            metadata,
            peers: n.peers.clone(),
            probe_period: Duration::from_secs(1),
            seats: self.seats.clone(),
        };
        let unix = Micros(UNIX) + now - n.behind;
        n.fleet = Some(ClusterNode::new(settings, now, unix, random).expect("sound settings"));
        (n.paused, n.life, n.shares) = (false, n.life + 1, QuotaShares::default());
        n.backlog.clear();
        let life = n.life;
        let first = now + Micros(self.rng.random_range(0..TICK_INTERVAL.0));
        self.push(first, What::Wake(node, life));
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        (n.fleet, n.paused, n.shares) = (None, false, QuotaShares::default());
        n.backlog.clear();
    }

    /// A process leaves by its word, and ends a second later with `kill`.
    pub fn leave(&mut self, node: usize) {
        self.give(node, Event::Leave);
    }

    /// Stops a process, or lets it go on.
    pub fn pause(&mut self, node: usize, on: bool) {
        if self.nodes[node].fleet.is_none() || self.nodes[node].paused == on {
            return;
        }
        self.nodes[node].paused = on;
        if !on {
            for (from, bytes) in std::mem::take(&mut self.nodes[node].backlog) {
                self.give(node, Event::Datagram { from, bytes: &bytes });
            }
            self.give(node, Event::Tick);
        }
    }

    /// Nothing crosses from one to the other, or it does again.
    pub fn cut(&mut self, from: usize, to: usize, on: bool) {
        match on {
            true => self.cuts.insert((from, to)),
            false => self.cuts.remove(&(from, to)),
        };
    }
    /// Nothing crosses between any two of these groups.
    pub fn split(&mut self, groups: &[Vec<usize>]) {
        for (a, left) in groups.iter().enumerate() {
            for right in groups.iter().enumerate().filter(|(b, _)| *b != a).map(|(_, g)| g) {
                self.cuts.extend(left.iter().flat_map(|&i| right.iter().map(move |&j| (i, j))));
            }
        }
    }
    /// Every way is open again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A datagram that comes from nobody of the fleet.
    pub fn inject(&mut self, to: usize, bytes: &[u8]) {
        let from = SocketAddr::from(([10, 255, 255, 255], 9));
        self.give(to, Event::Datagram { from, bytes });
    }

    fn push(&mut self, at: Micros, what: What) {
        self.serial += 1;
        self.queue.push(Reverse(Due { at, serial: self.serial, what }));
    }

    /// Tells a member something.
    fn give(&mut self, node: usize, event: Event<'_>) {
        let mut effects = std::mem::take(&mut self.effects);
        if let Some(fleet) = self.nodes[node].fleet.as_mut() {
            fleet.handle(self.now, event, &mut effects);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Send { to: address, bytes } => self.send(node, address, bytes),
                Effect::Notify(notice) => self.notices.push((self.now, node, notice)),
                Effect::QuotaSharesChanged(shares) => self.nodes[node].shares = shares,
                // No ledger is kept here.
                Effect::ClaimResolved { .. }
                | Effect::RoutingChanged(_)
                | Effect::RolloutNotice(_)
                | Effect::RolloutStarted { key: _ }
                | Effect::PersistBatch { .. }
                | Effect::RequestAbandoned(_)
                | Effect::WriteQueue(_) => {}
            }
        }
        self.effects = effects;
    }

    fn send(&mut self, from: usize, address: SocketAddr, bytes: Vec<u8>) {
        let Some(&to) = self.at.get(&address) else { return };
        let copies = if self.rng.random_bool(self.weather.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.weather.loss) {
                continue;
            }
            let (least, most) = self.weather.delay;
            let delay = Micros(self.rng.random_range(least.0..=most.0));
            self.push(self.now + delay, What::Datagram(from, to, bytes.clone()));
        }
    }

    /// Lets time go by until then. Panics on a storm of messages, which would never end.
    pub fn run_until(&mut self, until: Micros) {
        let span = (until - self.now).secs() + 1.0;
        let most = self.serial + (span * self.nodes.len() as f64 * STORM) as u64;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at <= until) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            assert!(self.serial <= most, "a storm of messages at {} s", self.now.secs());
            self.now = due.at;
            match due.what {
                What::Datagram(from, to, bytes) => {
                    // A cut takes what is under way with it.
                    if self.cuts.contains(&(from, to)) {
                        continue;
                    }
                    let source = self.nodes[from].address;
                    let node = &mut self.nodes[to];
                    if node.paused {
                        if node.backlog.len() < BACKLOG {
                            node.backlog.push((source, bytes));
                        }
                    } else {
                        self.give(to, Event::Datagram { from: source, bytes: &bytes });
                    }
                }
                What::Wake(node, life) => {
                    if self.nodes[node].life != life || self.nodes[node].fleet.is_none() {
                        continue;
                    }
                    if !self.nodes[node].paused {
                        self.give(node, Event::Tick);
                    }
                    self.push(self.now + TICK_INTERVAL, What::Wake(node, life));
                }
            }
        }
        self.now = self.now.max(until);
    }
    /// Lets so much time go by.
    pub fn run_for(&mut self, span: Micros) {
        self.run_until(self.now + span);
    }

    /// The lent parts that are in force now for a customer that comes through these seats, in parts of one: each
    /// seat's own, and what it has of those that are away. Two processes of one seat both count.
    pub fn in_force(&self, through: &[usize]) -> f64 {
        let spread = through.len() as f64;
        let share = |node: &Node| {
            let away = node.shares.free_seats.iter().filter(|s| through.contains(&(**s as usize))).count();
            1.0 / (spread - away as f64)
        };
        let used = |node: &&Node| {
            let seat = self.seats.iter().position(|seat| *seat == node.name);
            seat.is_some_and(|seat| through.contains(&seat)) && self.now < node.shares.until
        };
        self.nodes.iter().filter(used).map(share).sum()
    }

    /// Whether all that run hold exactly each other to be present.
    pub fn is_one(&self) -> bool {
        let awake = self.awake();
        let names: BTreeSet<&str> = awake.iter().map(|&i| self.name(i)).collect();
        awake.iter().all(|&i| {
            let Some(fleet) = self.fleet(i) else { return false };
            let present = fleet.records().filter(|r| r.state.is_present()).map(|r| &*r.identity.name);
            let mut seen: BTreeSet<&str> = present.collect();
            seen.insert(self.name(i));
            seen == names
        })
    }
}
