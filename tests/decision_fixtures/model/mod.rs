//! A small model of the environment of gateways: clients, endpoints, discovery and the counter service.
//!
//! The model carries out the actions of the decision module, so that a recorded run covers the same cases as real
//! runs. It is deterministic for a given seed, so the order of its random draws must not change. Its debug output is
//! part of the recorded files.

mod changes;
mod clients;
mod environment;
pub mod messages;
mod scenario;
mod services;
pub mod site;

pub use scenario::Scenario;

use environment::{Change, CounterState, Endpoint, Fault, QueuedEvent, Request};
use messages::{CallOutcome, EndpointLine, GatewayInput, ListScope, Status};
use site::{MS, S, TICK};
use std::collections::{BTreeMap, BTreeSet};

/// State of a running model.
pub struct Model {
    pub scenario: Scenario,
    rng: fastrand::Rng,
    now: u64,
    event_queue: BTreeMap<(u64, u64), QueuedEvent>,
    last_sequence_number: u64,
    endpoints: Vec<Endpoint>,
    counts: BTreeMap<u64, f64>,
    counter: CounterState,
    requests: BTreeMap<(u32, u64), Request>,
    next_request: u64,
    incarnations: BTreeMap<u32, u32>,
    /// Gateways that receive new requests.
    accepting_gateways: Vec<u32>,
    /// Gateways that are running, including those that only finish their requests.
    running: BTreeSet<u32>,
}

/// Time of a step, and the inputs of the gateways in that step, in order.
pub type Step = (u64, Vec<(u32, GatewayInput)>);

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
            event_queue: BTreeMap::new(),
            last_sequence_number: 0,
            endpoints: (0..scenario.endpoints).map(endpoint).collect(),
            counts: BTreeMap::new(),
            counter: CounterState::Healthy,
            requests: BTreeMap::new(),
            next_request: 1,
            incarnations: BTreeMap::new(),
            accepting_gateways: scenario.simulated_gateways.clone(),
            running: BTreeSet::new(),
            scenario,
        };
        let start_time = model.now;
        for gateway in model.scenario.simulated_gateways.clone() {
            model.start(gateway, start_time);
        }
        model.enqueue(start_time + 100 * MS, QueuedEvent::Change(Change::NextArrival));
        model.enqueue(start_time + 2 * S, QueuedEvent::Change(Change::Random));
        if let Some((endpoint, from, until)) = model.scenario.outage {
            let fault = Fault::RefusesConnections;
            model.enqueue(
                start_time + from * S,
                QueuedEvent::Change(Change::EndpointFault { endpoint, fault }),
            );
            let fault = Fault::None;
            model.enqueue(
                start_time + until * S,
                QueuedEvent::Change(Change::EndpointFault { endpoint, fault }),
            );
        }
        for (at, gateway, input) in model.scenario.schedule.clone() {
            model.enqueue(start_time + at, QueuedEvent::Deliver { gateway, incarnation: 0, input });
        }
        model
    }

    fn start(&mut self, gateway: u32, at: u64) {
        self.enqueue_input(gateway, at, GatewayInput::Start);
        if !self.scenario.must_subscribe {
            let list = self.complete_list();
            self.enqueue_input(gateway, at, list);
        }
    }

    fn enqueue(&mut self, at: u64, event: QueuedEvent) -> (u64, u64) {
        self.last_sequence_number += 1;
        let key = (at.max(self.now), self.last_sequence_number);
        self.event_queue.insert(key, event);
        key
    }

    fn enqueue_input(&mut self, gateway: u32, at: u64, input: GatewayInput) -> (u64, u64) {
        let incarnation = self.incarnations.get(&gateway).copied().unwrap_or(0);
        self.enqueue(at, QueuedEvent::Deliver { gateway, incarnation, input })
    }

    fn complete_list(&self) -> GatewayInput {
        let listed = self.endpoints.iter().filter(|e| e.line.status != Status::Removed);
        GatewayInput::Endpoints {
            scope: ListScope::Complete,
            endpoints: listed.map(|e| e.line.clone()).collect(),
        }
    }

    /// Advances to the next step with inputs or changes; `None` at the end of the run.
    pub fn step(&mut self) -> Option<Step> {
        let end = 1_000 * S + self.scenario.rates.last().map_or(0, |r| r.0 * S);
        let first = *self.event_queue.keys().next()?;
        self.now = first.0.max(self.now + TICK).div_ceil(TICK) * TICK;
        if self.now > end {
            return None;
        }
        let mut inputs = Vec::new();
        while let Some(entry) = self.event_queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                QueuedEvent::Change(change) => self.apply_change(change),
                QueuedEvent::Deliver { gateway, incarnation, input } => {
                    let current = self.incarnations.get(&gateway).copied().unwrap_or(0);
                    // Some inputs for an earlier process are still delivered after a restart.
                    let is_delivered_after_restart = matches!(
                        input,
                        GatewayInput::AttemptEnded(_)
                            | GatewayInput::CounterReplied { .. }
                            | GatewayInput::Stop
                    );
                    if incarnation == current || is_delivered_after_restart {
                        self.deliver(gateway, input, &mut inputs);
                    }
                }
            }
        }
        Some((self.now, inputs))
    }

    fn deliver(&mut self, gateway: u32, mut input: GatewayInput, inputs: &mut Vec<(u32, GatewayInput)>) {
        match &mut input {
            GatewayInput::AttemptEnded(end) => {
                if let Some(endpoint) = self.endpoints.get_mut(end.endpoint as usize) {
                    endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
                }
                if let Some(request) = self.requests.get_mut(&(gateway, end.request)) {
                    if let Some(attempt) = request.attempts.get_mut(end.attempt) {
                        attempt.ends = None;
                    }
                    request.closed |= end.how == CallOutcome::Success;
                    end.final_answer = request.closed;
                }
            }
            GatewayInput::ClientDisconnected { request } => {
                let Some(request) = self.requests.get_mut(&(gateway, *request)) else { return };
                if std::mem::replace(&mut request.closed, true) {
                    return;
                }
            }
            GatewayInput::HandOver { to } => {
                let to = *to;
                self.accepting_gateways.retain(|g| *g != gateway);
                self.accepting_gateways.push(to);
            }
            GatewayInput::Start => {
                self.running.insert(gateway);
                if self.scenario.module_only {
                    inputs.push((gateway, input));
                    input = self.complete_list();
                }
            }
            GatewayInput::Stop => {
                self.running.remove(&gateway);
                if self.scenario.module_only {
                    self.accepting_gateways.retain(|g| *g != gateway);
                }
            }
            GatewayInput::PeerProcessExited if !self.accepting_gateways.contains(&gateway) => {
                self.accepting_gateways.push(gateway)
            }
            _ => {}
        }
        inputs.push((gateway, input));
    }
}
