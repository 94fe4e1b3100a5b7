//! State shared by all stand-ins of a run: plan, clock, links, record, and the requests by their ids on the wire.

use crate::clock::Clock;
use crate::link::{lock, Links};
use crate::plan::{Microseconds, Plan};
use crate::record::{EndpointNotice, Record};
use crate::relay::ResourceShortages;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// State shared by all stand-ins of a run.
pub struct RunContext {
    /// Plan of the run, drawn from the seed.
    pub plan: Plan,
    /// Clock of the run.
    pub clock: Clock,
    /// Links between the parties.
    pub links: Links,
    /// Observations so far.
    pub record: Mutex<Record>,
    /// Resource shortages of the lab itself.
    pub resource_shortages: Arc<ResourceShortages>,
    /// Folder of configurations and logs.
    pub folder: PathBuf,
    /// Second byte of the run's loopback addresses.
    pub net: u8,
    /// Indexes of the arrivals by the ids that clients have sent.
    arrivals_by_id: Mutex<HashMap<u64, usize>>,
    /// Time at which each arrival with an idempotency key was last started at a backend.
    started_at: Mutex<HashMap<usize, Microseconds>>,
    /// Backend start that each gateway's present process was last notified of, by gateway and backend.
    known_starts: Mutex<HashMap<(usize, usize), Microseconds>>,
    /// Number of each gateway's present process.
    process_numbers: Mutex<Vec<usize>>,
}

impl RunContext {
    /// Creates the context of a run. `net` is the second byte of the run's loopback addresses.
    pub fn new(plan: Plan, clock: Clock, folder: PathBuf, net: u8) -> RunContext {
        let links = Links::new(&plan.scenario, plan.seed);
        let gateways = plan.scenario.gateways.count;
        RunContext {
            plan,
            clock,
            links,
            record: Mutex::default(),
            resource_shortages: Arc::default(),
            folder,
            net,
            arrivals_by_id: Mutex::default(),
            started_at: Mutex::default(),
            known_starts: Mutex::default(),
            process_numbers: Mutex::new(vec![0; gateways]),
        }
    }

    /// Returns the loopback address on a gateway's side with the given last byte.
    pub fn side(&self, gateway: usize, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net, gateway as u8 + 1, last))
    }

    /// Updates the record.
    pub fn note(&self, change: impl FnOnce(&mut Record)) {
        change(&mut lock(&self.record));
    }

    /// Registers the id of a request that a client is about to send.
    pub fn register_id(&self, id: u64, arrival: usize) {
        lock(&self.arrivals_by_id).insert(id, arrival);
    }

    /// Returns the index of the arrival with a request id. If the plan accepts any id, unknown ones map to some arrival.
    pub fn arrival(&self, id: u64) -> Option<usize> {
        let known = lock(&self.arrivals_by_id).get(&id).copied();
        let accept_any = self.plan.open_ids && !self.plan.arrivals.is_empty();
        known.or_else(|| accept_any.then(|| id as usize % self.plan.arrivals.len()))
    }

    /// Returns whether a request with an idempotency key was already started within its deduplication window. If not, it
    /// counts as started now.
    pub fn is_repeated(&self, arrival: usize, window: Microseconds, now: Microseconds) -> bool {
        let mut started_at = lock(&self.started_at);
        match started_at.get(&arrival) {
            Some(at) if now < at + window => true,
            _ => {
                started_at.insert(arrival, now);
                false
            }
        }
    }

    /// Returns the number of a gateway's present process, counted from 0.
    pub fn process_number(&self, gateway: usize) -> usize {
        lock(&self.process_numbers)[gateway]
    }

    /// Increments a gateway's process number and removes the notices that its previous process received.
    pub fn next_process(&self, gateway: usize) {
        lock(&self.process_numbers)[gateway] += 1;
        lock(&self.known_starts).retain(|(g, _), _| *g != gateway);
    }

    /// Records that discovery notified a gateway of a backend's state.
    pub fn record_notice(
        &self,
        gateway: usize,
        backend: usize,
        ready: bool,
        started: Microseconds,
        at: Microseconds,
    ) {
        let process_number = self.process_number(gateway);
        if ready {
            lock(&self.known_starts).insert((gateway, backend), started);
        }
        self.note(|record| {
            record.endpoint_notices.push(EndpointNotice { gateway, process_number, backend, ready, at })
        });
    }

    /// Returns whether a gateway's present process was notified of a backend's start at time `started` or later.
    pub fn knows_start(&self, gateway: usize, backend: usize, started: Microseconds) -> bool {
        lock(&self.known_starts).get(&(gateway, backend)).is_some_and(|at| *at >= started)
    }

    /// Returns the mark for an answer's body. It depends on seed, id and backend, so that a gateway cannot invent it and
    /// all answers of a backend to an id carry the same one.
    pub fn mark(&self, id: u64, backend: usize) -> u64 {
        let mut x =
            id ^ self.plan.seed.rotate_left(17) ^ (backend as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        x ^ (x >> 32)
    }

    /// Returns a pseudo-random number in [0, 1) that depends on seed, id and purpose alone.
    pub fn unit_draw(&self, id: u64, purpose: u64) -> f64 {
        (self.mark(id, purpose as usize) >> 11) as f64 / (1u64 << 53) as f64
    }
}
