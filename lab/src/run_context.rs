//! What all stand-ins of a run share: plan, clock, links, the record, and which request an id on the wire names.

use crate::clock::Clock;
use crate::link::{lock, Links};
use crate::plan::{Microseconds, Plan};
use crate::record::{Record, Told};
use crate::relay::StarvedReads;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// Shared by all stand-ins.
pub struct RunContext {
    /// All that the seed decided.
    pub plan: Plan,
    /// The run's clock.
    pub clock: Clock,
    /// The state of the ways.
    pub links: Links,
    /// What was seen so far.
    pub record: Mutex<Record>,
    /// Lacks of the lab itself.
    pub starved: Arc<StarvedReads>,
    /// Where configurations and logs are kept.
    pub folder: PathBuf,
    /// The second byte of this run's loopback addresses.
    pub net: u8,
    /// Arrivals by the ids that clients have sent.
    ids: Mutex<HashMap<u64, usize>>,
    /// Keyed arrivals that have been begun: when.
    keys: Mutex<HashMap<usize, Microseconds>>,
    /// What each gateway's living process knows of starts: gateway and backend.
    knows: Mutex<HashMap<(usize, usize), Microseconds>>,
    lives: Mutex<Vec<usize>>,
}

impl RunContext {
    /// A new context; `net` is the second byte of its loopback addresses.
    pub fn new(plan: Plan, clock: Clock, folder: PathBuf, net: u8) -> RunContext {
        let links = Links::new(&plan.scenario, plan.seed);
        let gateways = plan.scenario.gateways.count;
        RunContext {
            plan,
            clock,
            links,
            record: Mutex::default(),
            starved: Arc::default(),
            folder,
            net,
            ids: Mutex::default(),
            keys: Mutex::default(),
            knows: Mutex::default(),
            lives: Mutex::new(vec![0; gateways]),
        }
    }

    /// Loopback address `last` of the side of a gateway.
    pub fn side(&self, gateway: usize, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, gateway as u8 + 1, last))
    }

    /// Notes something in the record.
    pub fn note(&self, change: impl FnOnce(&mut Record)) {
        change(&mut lock(&self.record));
    }

    /// Says that a client is about to send a request under this id.
    pub fn announce(&self, id: u64, arrival: usize) {
        lock(&self.ids).insert(id, arrival);
    }

    /// The arrival that an id names.
    pub fn arrival(&self, id: u64) -> Option<usize> {
        let known = lock(&self.ids).get(&id).copied();
        let any = self.plan.open_ids && !self.plan.arrivals.is_empty();
        known.or_else(|| any.then(|| id as usize % self.plan.arrivals.len()))
    }

    /// Whether a keyed request has been begun within its window; if not, it is from now on.
    pub fn repeated(&self, arrival: usize, window: Microseconds, now: Microseconds) -> bool {
        let mut keys = lock(&self.keys);
        match keys.get(&arrival) {
            Some(at) if now < at + window => true,
            _ => {
                keys.insert(arrival, now);
                false
            }
        }
    }

    /// The process that a gateway runs now, counted from 0.
    pub fn life(&self, gateway: usize) -> usize {
        lock(&self.lives)[gateway]
    }

    /// A gateway's next process starts, knowing nothing.
    pub fn next_life(&self, gateway: usize) {
        lock(&self.lives)[gateway] += 1;
        lock(&self.knows).retain(|(g, _), _| *g != gateway);
    }

    /// Notes that discovery told a gateway of a backend.
    pub fn told(&self, gateway: usize, backend: usize, ready: bool, started: Microseconds, at: Microseconds) {
        let life = self.life(gateway);
        if ready {
            lock(&self.knows).insert((gateway, backend), started);
        }
        self.note(|record| record.told.push(Told { gateway, life, backend, ready, at }));
    }

    /// Whether a gateway's process was told of a backend's start at this time.
    pub fn knows(&self, gateway: usize, backend: usize, started: Microseconds) -> bool {
        lock(&self.knows).get(&(gateway, backend)).is_some_and(|at| *at >= started)
    }

    /// A mark for a body that only this run's backends can make: the same for all of a backend's answers to an id.
    pub fn mark(&self, id: u64, backend: usize) -> u64 {
        let mut x =
            id ^ self.plan.seed.rotate_left(17) ^ (backend as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        x ^ (x >> 32)
    }

    /// A draw from 0 to under 1 that an id and a purpose decide.
    pub fn part(&self, id: u64, purpose: u64) -> f64 {
        (self.mark(id, purpose as usize) >> 11) as f64 / (1u64 << 53) as f64
    }
}
