//! The world of these tests: whole fleet parts, a network that loses, doubles and delays, disks that sync late
//! and fail, processes and machines that end at any moment, all of them at once too.

use quota_gateway::cluster::ledger::LedgerSettings;
use quota_gateway::cluster::write_queue::{
    Dot, ForwardOutcome, WriteOutcome, WriteQueueSettings, WriteRequest, WriteState, WriteStatus,
};
use quota_gateway::cluster::{
    ClusterNode, ClusterNotice, Effect, Event, MachineId, MemberMetadata, Micros, Settings, StorageWrite,
    WriteQueueEffect, CAPABILITY_LEDGER,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

pub const MS: u64 = 1000;
const BEAT: u64 = 20 * MS;
/// The wall clock when a play begins.
const UNIX: u64 = 1_800_000_000_000_000;

pub type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

pub struct Node {
    pub fleet: Option<ClusterNode>,
    pub life: u64,
    pub boot: u64,
    /// When its machine was started.
    pub up_since: u64,
    pub disk: Disk,
    /// Batches under way to the disk, each with the moment at which it is held.
    pub under_way: VecDeque<(u64, u64, Vec<StorageWrite>)>,
    pub broken: bool,
    /// It holds nothing for now.
    pub stalled: bool,
    /// When what the disk holds is read.
    pub reads_at: Option<u64>,
    pub wake_at: u64,
    /// What it said of its disk.
    pub notices: Vec<ClusterNotice>,
}

#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub customer: u64,
    pub object: u64,
    pub asked: u64,
    pub accepted: Option<u64>,
    pub refused: bool,
    pub ran: Vec<u64>,
}

pub enum Post {
    Datagram(usize, usize, Vec<u8>),
    /// A send ends: at whom, in which life, what.
    Ends(usize, u64, Dot, u16, ForwardOutcome),
}

pub struct Play {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    pub with_disks: bool,
    pub net: BTreeMap<(u64, u64), Post>,
    pub sent: u64,
    pub loss: f64,
    pub cut: bool,
    pub busy: BTreeSet<u64>,
    pub seen: BTreeMap<Dot, Seen>,
    /// Gateways belong to so many branches in turn; whether those of two hear each other.
    pub branches: usize,
    pub apart: bool,
    /// Sent by a process that died before it said how that ended, or sent again after such a one.
    pub torn: BTreeSet<Dot>,
}

fn apply(disk: &mut Disk, puts: Vec<StorageWrite>) {
    for put in puts {
        match put.value {
            Some(value) => drop(disk.insert(put.key, value)),
            None => drop(disk.remove(&put.key)),
        }
    }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7000))
}

impl Play {
    pub fn new(seed: u64, nodes: usize, with_disks: bool) -> Play {
        Play::of_branches(seed, nodes, with_disks, 1)
    }

    pub fn of_branches(seed: u64, nodes: usize, with_disks: bool, branches: usize) -> Play {
        let node = |_| Node {
            fleet: None,
            life: 0,
            boot: 1,
            up_since: UNIX - 3_600_000 * MS,
            disk: Disk::new(),
            under_way: VecDeque::new(),
            broken: false,
            stalled: false,
            reads_at: None,
            wake_at: 0,
            notices: Vec::new(),
        };
        let mut play = Play {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: UNIX,
            nodes: (0..nodes).map(node).collect(),
            with_disks,
            net: BTreeMap::new(),
            sent: 0,
            loss: 0.02,
            cut: false,
            busy: BTreeSet::new(),
            seen: BTreeMap::new(),
            torn: BTreeSet::new(),
            branches,
            apart: false,
        };
        (0..nodes).for_each(|node| play.start(node));
        play.pass(12_000);
        play
    }

    pub fn start(&mut self, node: usize) {
        let (seats, random) = (self.nodes.len(), self.rng.random::<u64>());
        let name = |n: usize| format!("g{n}");
        let n = &self.nodes[node];
        let machine = MachineId { boot: n.boot, uptime: Micros(self.now - n.up_since) };
        let settings = Settings {
            cluster: "virtual".into(),
            name: name(node),
            metadata: MemberMetadata {
                zone: "z".into(),
                version: "1".into(),
                capabilities: CAPABILITY_LEDGER,
                advertise: Some(address(node)),
            },
            peers: (0..seats).filter(|n| *n != node).map(|n| (name(n), address(n))).collect(),
            probe_period: Duration::from_secs(1),
            seats: (0..seats).map(name).collect(),
            ledger: Some(LedgerSettings {
                replicas: 3,
                lease: Micros(600 * MS),
                record_lifetime: Micros(5_000 * MS),
            }),
            rules: None,
            branch: Some(WriteQueueSettings {
                seats: (0..seats as u16).skip(node % self.branches).step_by(self.branches).collect(),
                max_pending: 5000,
                max_pending_per_customer: 500,
                max_age: Micros(600_000 * MS),
                uplink_timeout: Micros(500 * MS),
                send_timeout: Micros(500 * MS),
                max_in_flight: 20,
                max_sends_per_second: 400,
                blocking_classes: Vec::new(),
            }),
            disk: self.with_disks.then_some(machine),
        };
        let reads_after = self.rng.random_range(MS..300 * MS);
        let now = self.now;
        let n = &mut self.nodes[node];
        n.fleet = Some(ClusterNode::new(settings, Micros(now), Micros(now), random).expect("sound settings"));
        (n.life, n.wake_at) = (n.life + 1, now);
        n.reads_at = self.with_disks.then_some(now + reads_after);
    }

    /// A process ends; of what was under way to its disk any beginning is held. With `machine` it is started anew, too.
    pub fn kill(&mut self, node: usize, machine: bool) {
        let held = self.rng.random_range(0..=self.nodes[node].under_way.len());
        let (boot, now) = (self.rng.random(), self.now);
        let n = &mut self.nodes[node];
        n.fleet = None;
        let under_way: Vec<_> = n.under_way.drain(..).take(held).collect();
        if !n.broken {
            under_way.into_iter().for_each(|(_, _, puts)| apply(&mut n.disk, puts));
        }
        if machine {
            (n.boot, n.up_since) = (boot, now);
        }
    }

    pub fn later(&mut self, after: u64, post: Post) {
        self.sent += 1;
        self.net.insert((self.now + after, self.sent), post);
    }

    pub fn perform(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => {
                    let Some(to) = (0..self.nodes.len()).find(|n| address(*n) == to) else { continue };
                    if self.apart && to % self.branches != node % self.branches {
                        continue;
                    }
                    for _ in 0..1 + usize::from(self.rng.random_bool(0.02)) {
                        if !self.rng.random_bool(self.loss) {
                            let after = self.rng.random_range(200..8 * MS);
                            self.later(after, Post::Datagram(to, node, bytes.clone()));
                        }
                    }
                }
                Effect::PersistBatch { batch, writes: puts } => {
                    let due = self.now + self.rng.random_range(MS..12 * MS);
                    let way = &mut self.nodes[node].under_way;
                    let due = due.max(way.back().map_or(0, |(_, due, _)| *due));
                    way.push_back((batch, due, puts));
                }
                Effect::WriteQueue(errand) => self.run(node, errand),
                Effect::Notify(notice) => {
                    let of_disk =
                        matches!(notice, ClusterNotice::StorageLoaded { .. } | ClusterNotice::StorageLost);
                    self.nodes[node].notices.extend(of_disk.then_some(notice));
                }
                _ => {}
            }
        }
    }

    pub fn run(&mut self, node: usize, errand: WriteQueueEffect) {
        match errand {
            WriteQueueEffect::Decided { dot, accepted: yes } => {
                if let Some(seen) = self.seen.get_mut(&dot) {
                    (seen.accepted, seen.refused) = (yes.then_some(self.now), !yes);
                    self.busy.remove(&seen.customer);
                }
            }
            WriteQueueEffect::Forward { write, attempt: tries, may_have_run: before } => {
                let after = self.rng.random_range(5 * MS..60 * MS);
                let (fate, ran) = match (before, self.cut) {
                    // It may have run, and is not sent again.
                    (true, _) => (ForwardOutcome::Unknown, None),
                    (false, true) => (ForwardOutcome::NotExecuted, None),
                    (false, false) => (ForwardOutcome::Answered(200), Some(self.now + after / 2)),
                };
                if let Some(seen) = self.seen.get_mut(&write.dot) {
                    seen.ran.extend(ran);
                    if before {
                        self.torn.insert(write.dot);
                    }
                }
                self.later(after, Post::Ends(node, self.nodes[node].life, write.dot, tries, fate));
            }
            WriteQueueEffect::NotCompleted { .. } | WriteQueueEffect::IsolationChanged { .. } => {}
        }
    }

    pub fn give(&mut self, node: usize, event: Event<'_>) {
        let mut effects = Vec::new();
        let now = Micros(self.now);
        self.nodes[node].fleet.iter_mut().for_each(|fleet| fleet.handle(now, event_of(&event), &mut effects));
        self.perform(node, effects);
    }

    pub fn disks(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].fleet.is_none() {
                continue;
            }
            if self.nodes[node].reads_at.is_some_and(|at| at <= self.now) {
                let n = &mut self.nodes[node];
                n.reads_at = None;
                let held = n
                    .disk
                    .iter()
                    .map(|(k, v)| StorageWrite { key: k.clone(), value: Some(v.clone()) })
                    .collect();
                self.give(node, Event::StorageLoaded { writes: held });
            }
            while !self.nodes[node].stalled
                && self.nodes[node].under_way.front().is_some_and(|(_, due, _)| *due <= self.now)
            {
                let n = &mut self.nodes[node];
                let Some((batch, _, puts)) = n.under_way.pop_front() else { break };
                if n.broken {
                    n.under_way.clear();
                    self.give(node, Event::StorageFailed);
                } else {
                    apply(&mut n.disk, puts);
                    self.give(node, Event::StorageSynced { batch });
                }
            }
        }
    }

    /// Messages and disks alone, up to then.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            // Disks are looked at every millisecond or at each message, whatever comes first.
            let next = (self.now + MS).min(until);
            let next = self.net.first_key_value().map_or(next, |((at, _), _)| (*at).clamp(self.now, next));
            self.now = next;
            self.disks();
            while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= next) {
                match entry.remove() {
                    Post::Datagram(to, from, bytes) => {
                        self.give(to, Event::Datagram { from: address(from), bytes: &bytes })
                    }
                    Post::Ends(node, life, dot, tries, fate) => {
                        let (now, mut effects) = (Micros(self.now), Vec::new());
                        let n = &mut self.nodes[node];
                        if n.life == life && n.fleet.is_some() {
                            n.fleet
                                .iter_mut()
                                .for_each(|f| f.on_write_forwarded(now, dot, tries, fate, &mut effects));
                            self.perform(node, effects);
                        } else {
                            self.torn.insert(dot);
                        }
                    }
                }
            }
        }
    }

    pub fn beat(&mut self) {
        self.run_until(self.now + BEAT);
        for node in 0..self.nodes.len() {
            let (now, answered) = (Micros(self.now), !self.cut);
            self.nodes[node].fleet.iter_mut().for_each(|fleet| fleet.record_backend_attempt(now, answered));
            self.give(node, Event::LedgerTick);
            if self.now >= self.nodes[node].wake_at {
                self.nodes[node].wake_at = self.now + 200 * MS;
                self.give(node, Event::Tick);
            }
        }
    }

    pub fn pass(&mut self, ms: u64) {
        (0..ms * MS / BEAT).for_each(|_| self.beat());
    }

    pub fn votes(&self) -> Vec<(bool, bool)> {
        let now = Micros(self.now);
        let of = |fleet: &ClusterNode| {
            let branch = fleet.write_queue().is_some_and(|queue| queue.replica().has_vote());
            (branch, fleet.ledger().is_some_and(|ledger| ledger.replica().has_vote(now)))
        };
        self.nodes.iter().map(|n| n.fleet.as_ref().map_or((false, false), of)).collect()
    }

    /// A client writes through a gateway, if its last write is accepted or refused.
    pub fn write(&mut self, node: usize, customer: u64, object: u64) -> bool {
        let now = Micros(self.now);
        let Some(fleet) = self.nodes[node].fleet.as_mut() else { return false };
        let takes = fleet.write_queue().is_some_and(|queue| queue.replica().should_queue(customer, object));
        if self.busy.contains(&customer) || !takes {
            return false;
        }
        let mut effects = Vec::new();
        let request = WriteRequest { customer, object, class: 0, key: 0, payload: vec![7; 40] };
        let dot = fleet.accept_write(now, request, &mut effects);
        if let Some(dot) = dot {
            self.busy.insert(customer);
            self.seen.insert(dot, Seen { customer, object, asked: self.now, ..Seen::default() });
        }
        self.perform(node, effects);
        dot.is_some()
    }

    /// Clients whose gateway died with their write stop waiting for it.
    pub fn give_up(&mut self, node: usize) {
        let here = self
            .seen
            .iter()
            .filter(|(dot, s)| usize::from(dot.seat) == node && s.accepted.is_none() && !s.refused);
        let customers: Vec<u64> = here.map(|(_, seen)| seen.customer).collect();
        self.busy.retain(|customer| !customers.contains(customer));
    }

    pub fn settle(&mut self) {
        (self.cut, self.loss) = (false, 0.0);
        let until = self.now + 90_000 * MS;
        let waits = |play: &Play| {
            let open = |f: &ClusterNode| {
                f.write_queue().is_some_and(|queue| queue.replica().log().pending_count() > 0)
            };
            play.nodes.iter().filter_map(|n| n.fleet.as_ref()).any(open)
        };
        // All have their votes again, and nothing waits.
        self.pass(2_000);
        while waits(self) && self.now < until {
            self.pass(100);
        }
        self.pass(3_000);
    }

    /// What was promised, from what clients and backends saw. Returns how many pairs stood in an order.
    pub fn check(&self) -> Result<usize, String> {
        let mut order = 0;
        for (dot, seen) in &self.seen {
            if seen.refused && !seen.ran.is_empty() {
                return Err(format!("{dot} was refused and ran"));
            }
            if seen.ran.len() > 1 {
                return Err(format!("{dot} ran {} times", seen.ran.len()));
            }
            let Some(accepted) = seen.accepted else { continue };
            let known = self.nodes.iter().filter_map(|n| n.fleet.as_ref()?.write_status(*dot));
            let known = known.filter_map(|status| match status {
                WriteStatus::Known(state) => Some(state),
                WriteStatus::Lost => None,
            });
            match known.max_by_key(|state| state.rank()) {
                Some(WriteState::Ended(WriteOutcome::Completed(_))) if !seen.ran.is_empty() => {}
                Some(WriteState::Ended(WriteOutcome::Unknown)) if self.torn.contains(dot) => {}
                Some(WriteState::Ended(WriteOutcome::Superseded(by))) => {
                    let rival = self.seen.get(&by).ok_or("superseded by nobody")?;
                    if rival.object != seen.object || rival.asked > accepted || !seen.ran.is_empty() {
                        return Err(format!("{dot} was superseded by {by}, which came after it, or ran"));
                    }
                }
                state => return Err(format!("{dot} was accepted and is {state:?}, ran {:?}", seen.ran)),
            }
            for (other, later) in &self.seen {
                let related = later.customer == seen.customer || later.object == seen.object;
                if let (true, Some(first), Some(then)) =
                    (related && later.asked > accepted, seen.ran.first(), later.ran.first())
                {
                    order += 1;
                    if first > then {
                        return Err(format!("{other} ran before {dot}, which it came after"));
                    }
                }
            }
        }
        Ok(order)
    }
}

/// An event of the same words; events are no values to be copied.
fn event_of<'a>(event: &Event<'a>) -> Event<'a> {
    match event {
        Event::Datagram { from, bytes } => Event::Datagram { from: *from, bytes },
        Event::Tick => Event::Tick,
        Event::LedgerTick => Event::LedgerTick,
        Event::Leave => Event::Leave,
        Event::PeerAddressesChanged { addresses: peers } => {
            Event::PeerAddressesChanged { addresses: peers.clone() }
        }
        Event::StorageLoaded { writes: puts } => Event::StorageLoaded { writes: puts.clone() },
        Event::StorageSynced { batch } => Event::StorageSynced { batch: *batch },
        Event::StorageFailed => Event::StorageFailed,
    }
}
