//! A small model of what surrounds gateways: clients, endpoints, discovery and the counter service.
//!
//! It answers the actions of the decision module, so that a recorded run visits what real runs visit. It is
//! deterministic by its seed. Its own types and names are those of the recorded files and never change.

mod changes;
mod clients;
mod scenario;
mod services;
pub mod site;
mod surroundings;
pub mod terms;

pub use scenario::Scenario;

use site::{MS, S, TICK};
use std::collections::{BTreeMap, BTreeSet};
use surroundings::{Change, CounterState, Endpoint, Fault, Item, Request};
use terms::{EndpointLine, How, Scope, Status, Stimulus};

/// The model in motion.
pub struct Model {
    pub scenario: Scenario,
    rng: fastrand::Rng,
    now: u64,
    queue: BTreeMap<(u64, u64), Item>,
    serial: u64,
    endpoints: Vec<Endpoint>,
    counts: BTreeMap<u64, f64>,
    counter: CounterState,
    requests: BTreeMap<(u32, u64), Request>,
    next_request: u64,
    incarnations: BTreeMap<u32, u32>,
    /// The gateways that new requests come to.
    open: Vec<u32>,
    /// The gateways that run, also those that only end what they have.
    running: BTreeSet<u32>,
}

/// What one step tells the gateways, in order.
pub type Step = (u64, Vec<(u32, Stimulus)>);

impl Model {
    pub fn new(scenario: Scenario) -> Model {
        let endpoint = |i: usize| Endpoint {
            line: EndpointLine {
                endpoint: i as u64,
                zone: (i % 3) as u32,
                cell: (i / 3) as u64,
                status: Status::InService,
                weight: [1.0, 1.0, 2.0, 0.5][i % 4],
                started: 0,
                label: (i % 2) as u32,
            },
            fault: Fault::None,
            in_flight: 0.0,
        };
        let mut model = Model {
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: 1_000 * S,
            queue: BTreeMap::new(),
            serial: 0,
            endpoints: (0..scenario.endpoints).map(endpoint).collect(),
            counts: BTreeMap::new(),
            counter: CounterState::Healthy,
            requests: BTreeMap::new(),
            next_request: 1,
            incarnations: BTreeMap::new(),
            open: scenario.played.clone(),
            running: BTreeSet::new(),
            scenario,
        };
        let begin = model.now;
        for gateway in model.scenario.played.clone() {
            model.start(gateway, begin);
        }
        model.put(begin + 100 * MS, Item::Change(Change::NextArrival));
        model.put(begin + 2 * S, Item::Change(Change::Random));
        if let Some((endpoint, from, until)) = model.scenario.outage {
            let fault = Fault::Refuses;
            model.put(begin + from * S, Item::Change(Change::EndpointFault { endpoint, fault }));
            let fault = Fault::None;
            model.put(begin + until * S, Item::Change(Change::EndpointFault { endpoint, fault }));
        }
        for (at, gateway, stimulus) in model.scenario.schedule.clone() {
            model.put(begin + at, Item::Tell { gateway, incarnation: 0, stimulus });
        }
        model
    }

    fn start(&mut self, gateway: u32, at: u64) {
        self.tell(gateway, at, Stimulus::Start);
        if !self.scenario.must_subscribe {
            let list = self.complete_list();
            self.tell(gateway, at, list);
        }
    }

    fn put(&mut self, at: u64, item: Item) -> (u64, u64) {
        self.serial += 1;
        let place = (at.max(self.now), self.serial);
        self.queue.insert(place, item);
        place
    }

    fn tell(&mut self, gateway: u32, at: u64, stimulus: Stimulus) -> (u64, u64) {
        let incarnation = self.incarnations.get(&gateway).copied().unwrap_or(0);
        self.put(at, Item::Tell { gateway, incarnation, stimulus })
    }

    fn complete_list(&self) -> Stimulus {
        let listed = self.endpoints.iter().filter(|e| e.line.status != Status::Removed);
        Stimulus::Endpoints { scope: Scope::Complete, endpoints: listed.map(|e| e.line.clone()).collect() }
    }

    /// The next step in which anything happens; `None` at the end of the run.
    pub fn step(&mut self) -> Option<Step> {
        let end = 1_000 * S + self.scenario.rates.last().map_or(0, |r| r.0 * S);
        let first = *self.queue.keys().next()?;
        self.now = first.0.max(self.now + TICK).div_ceil(TICK) * TICK;
        if self.now > end {
            return None;
        }
        let mut told = Vec::new();
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Item::Change(change) => self.change(change),
                Item::Tell { gateway, incarnation, stimulus } => {
                    let current = self.incarnations.get(&gateway).copied().unwrap_or(0);
                    // Some of what was meant for an earlier process still comes.
                    let late = matches!(
                        stimulus,
                        Stimulus::AttemptEnded(_) | Stimulus::CounterReplied { .. } | Stimulus::Stop
                    );
                    if incarnation == current || late {
                        self.deliver(gateway, stimulus, &mut told);
                    }
                }
            }
        }
        Some((self.now, told))
    }

    fn deliver(&mut self, gateway: u32, mut stimulus: Stimulus, told: &mut Vec<(u32, Stimulus)>) {
        match &mut stimulus {
            Stimulus::AttemptEnded(end) => {
                if let Some(endpoint) = self.endpoints.get_mut(end.endpoint as usize) {
                    endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
                }
                if let Some(request) = self.requests.get_mut(&(gateway, end.request)) {
                    if let Some(attempt) = request.attempts.get_mut(end.attempt) {
                        attempt.ends = None;
                    }
                    request.closed |= end.how == How::Success;
                    end.final_answer = request.closed;
                }
            }
            Stimulus::ClientDisconnected { request } => {
                let Some(request) = self.requests.get_mut(&(gateway, *request)) else { return };
                if std::mem::replace(&mut request.closed, true) {
                    return;
                }
            }
            Stimulus::HandOver { to } => {
                let to = *to;
                self.open.retain(|g| *g != gateway);
                self.open.push(to);
            }
            Stimulus::Start => {
                self.running.insert(gateway);
                if self.scenario.module_only {
                    told.push((gateway, stimulus));
                    stimulus = self.complete_list();
                }
            }
            Stimulus::Stop => {
                self.running.remove(&gateway);
                if self.scenario.module_only {
                    self.open.retain(|g| *g != gateway);
                }
            }
            Stimulus::PeerProcessExited if !self.open.contains(&gateway) => self.open.push(gateway),
            _ => {}
        }
        told.push((gateway, stimulus));
    }
}
