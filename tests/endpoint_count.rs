//! The same traffic and capacity for each gateway, with few large endpoints and with sixteen times as many
//! small ones. The fraction of served requests must not fall with the number of endpoints.
mod common;
use common::{settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, AttemptEnded, EndpointId, Event, LoadReport, Micros, Outcome, RequestId, Settings, TimerId,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const GATEWAYS: u32 = 60;
/// Requests a second at each gateway.
const REQUESTS_PER_SECOND: f64 = 6.0;
/// Mean service time of a request, exponentially distributed.
const MEAN_SERVICE_TIME: f64 = 400.0 * MS as f64;
/// Latency objective.
const LATENCY_OBJECTIVE: u64 = 2400 * MS;
/// Load as a fraction of the capacity of all endpoints.
const LOAD_FRACTION: f64 = 0.7;
/// Queue length of an endpoint for each request that it can run at once.
const QUEUE_PER_SLOT: usize = 8;
/// Minimum fraction served with many small endpoints. The comparison with few large endpoints alone would
/// pass if those were served badly too.
const MIN_SERVED: f64 = 0.85;
const WARM_UP: u64 = 5 * S;
const END: u64 = 25 * S;

struct SimulatedEndpoint {
    slots: usize,
    /// Number of running requests. `waiting` holds the queued ones with the time at which they were sent.
    busy: usize,
    waiting: VecDeque<(usize, RequestId, u64)>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    Completed { gateway: usize, id: RequestId, endpoint: usize, sent: u64 },
    Rejected { gateway: usize, id: RequestId, endpoint: usize },
    Timer(usize, TimerId),
}

struct Simulation {
    harnesses: Vec<GatewayHarness>,
    endpoints: Vec<SimulatedEndpoint>,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence_number: u64,
    rng: fastrand::Rng,
    epoch: u64,
    clock: u64,
    attempts: HashMap<(usize, RequestId), usize>,
    arrivals: usize,
    in_time: usize,
    arrival_times: HashMap<(usize, RequestId), u64>,
}

impl Simulation {
    fn new(slots: usize, seed: u64) -> Simulation {
        let busy = f64::from(GATEWAYS) * REQUESTS_PER_SECOND * MEAN_SERVICE_TIME / S as f64;
        let endpoints = (busy / LOAD_FRACTION / slots as f64).ceil() as usize;
        let gateway = |gateway_number: u32| {
            let mut settings =
                Settings { gateways: GATEWAYS, gateway_number, max_request_units: 1.0, ..settings() };
            settings.classes[0].latency_objective = Micros(LATENCY_OBJECTIVE);
            GatewayHarness::seeded(seed << 16 | u64::from(gateway_number), settings, endpoints as u32)
        };
        let harnesses: Vec<GatewayHarness> = (0..GATEWAYS).map(gateway).collect();
        let idle_endpoint = || SimulatedEndpoint { slots, busy: 0, waiting: VecDeque::new() };
        let epoch = harnesses[0].now;
        let mut simulation = Simulation {
            harnesses,
            endpoints: (0..endpoints).map(|_| idle_endpoint()).collect(),
            events: BinaryHeap::new(),
            sequence_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            epoch,
            clock: 0,
            attempts: HashMap::new(),
            arrivals: 0,
            in_time: 0,
            arrival_times: HashMap::new(),
        };
        (0..GATEWAYS as usize).for_each(|gateway| simulation.schedule_arrival(gateway));
        simulation
    }
    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.sequence_number += 1;
        self.events.push(Reverse((at, self.sequence_number, event)));
    }
    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64 + 1
    }
    fn schedule_arrival(&mut self, gateway: usize) {
        let after = self.exponential(S as f64 / REQUESTS_PER_SECOND);
        self.schedule(self.clock + after, SimulationEvent::Arrival(gateway));
    }
    fn start_request(&mut self, endpoint: usize, gateway: usize, id: RequestId, sent: u64) {
        self.endpoints[endpoint].busy += 1;
        let service_time = self.exponential(MEAN_SERVICE_TIME);
        self.schedule(self.clock + service_time, SimulationEvent::Completed { gateway, id, endpoint, sent });
    }
    fn apply_actions(&mut self, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { request: id, endpoint, .. } => {
                    *self.attempts.entry((gateway, id)).or_insert(0) += 1;
                    let endpoint = endpoint.0 as usize;
                    let state = &mut self.endpoints[endpoint];
                    if state.busy < state.slots {
                        self.start_request(endpoint, gateway, id, self.clock);
                    } else if state.waiting.len() < state.slots * QUEUE_PER_SLOT {
                        state.waiting.push_back((gateway, id, self.clock));
                    } else {
                        self.schedule(self.clock + MS, SimulationEvent::Rejected { gateway, id, endpoint });
                    }
                }
                Action::SetTimer { timer: id, after } => {
                    self.schedule(self.clock + after.0, SimulationEvent::Timer(gateway, id))
                }
                _ => {}
            }
        }
    }
    fn handle(&mut self, gateway: usize, event: Event) {
        let harness = &mut self.harnesses[gateway];
        harness.now = self.epoch + self.clock;
        let mut out = Vec::new();
        harness.gateway.handle(Micros(harness.now), event, &mut out);
        self.apply_actions(gateway, out);
    }
    fn end_attempt(
        &mut self,
        gateway: usize,
        id: RequestId,
        endpoint: usize,
        outcome: Outcome,
        elapsed: u64,
    ) {
        let in_flight = self.endpoints[endpoint].busy + self.endpoints[endpoint].waiting.len();
        let report = LoadReport { in_flight: Some(in_flight as f64), ..LoadReport::default() };
        let attempt = self.attempts.get(&(gateway, id)).map_or(0, |n| n - 1);
        let request_finished = outcome == Outcome::Success;
        let endpoint = EndpointId(endpoint as u64);
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed: Micros(elapsed),
            request_finished,
            settled_units: None,
            load: report,
        };
        self.handle(gateway, Event::AttemptEnded(end));
    }
    /// Runs the simulation and returns the fraction of requests that are answered within the latency
    /// objective.
    fn run(mut self) -> f64 {
        while let Some(Reverse((at, _, event))) = self.events.pop().filter(|next| next.0 .0 < END) {
            self.clock = at;
            match event {
                SimulationEvent::Arrival(gateway) => {
                    self.schedule_arrival(gateway);
                    let harness = &mut self.harnesses[gateway];
                    harness.now = self.epoch + self.clock;
                    let (id, out) = harness.request(0, 3, 1, 1.0);
                    if at >= WARM_UP {
                        self.arrivals += 1;
                        self.arrival_times.insert((gateway, id), at);
                    }
                    self.apply_actions(gateway, out);
                }
                SimulationEvent::Timer(gateway, id) => self.handle(gateway, Event::TimerFired { timer: id }),
                SimulationEvent::Rejected { gateway, id, endpoint } => {
                    self.end_attempt(gateway, id, endpoint, Outcome::Rejected, MS)
                }
                SimulationEvent::Completed { gateway, id, endpoint, sent } => {
                    self.endpoints[endpoint].busy -= 1;
                    if let Some((other, next, sent)) = self.endpoints[endpoint].waiting.pop_front() {
                        self.start_request(endpoint, other, next, sent);
                    }
                    let arrived_at = self.arrival_times.remove(&(gateway, id));
                    self.in_time += usize::from(
                        arrived_at.is_some_and(|arrived_at| at - arrived_at <= LATENCY_OBJECTIVE),
                    );
                    self.end_attempt(gateway, id, endpoint, Outcome::Success, at - sent);
                }
            }
        }
        self.in_time as f64 / self.arrivals as f64
    }
}

#[test]
fn served_fraction_does_not_fall_with_the_number_of_endpoints() {
    for seed in 1..=3 {
        let [few, many] = [16, 1].map(|slots| Simulation::new(slots, seed).run());
        println!("seed {seed}: {few:.3} with few endpoints, {many:.3} with many");
        assert!(many >= 0.85 * few, "seed {seed}: {many:.3} with many endpoints, {few:.3} with few");
        assert!(many >= MIN_SERVED, "seed {seed}: {many:.3} with many endpoints");
    }
}
