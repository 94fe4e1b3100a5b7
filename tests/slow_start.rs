//! Slow start: what all gateways together send to endpoints that have just started, with few and with many
//! gateways.
mod common;
use common::{endpoint_update, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, EndpointId, EndpointStatus, EndpointUpdate, Event, Outcome, RequestId, Settings, WatchScope,
};
use std::collections::{BTreeMap, VecDeque};

const STEP: u64 = 10 * MS;
/// Requests a second that one warm endpoint can handle.
const CAPACITY: f64 = 20.0;
/// Load as a fraction of the capacity of all endpoints, and the factor of the load in the burst.
const LOAD_FRACTION: f64 = 0.6;
const BURST_FACTOR: f64 = 1.8;
/// Time that an endpoint needs for a request.
const SERVICE_TIME: u64 = 100 * MS;
/// Time at which the endpoints start, and end of the simulation.
const START: u64 = 6 * S;
const END: u64 = 14 * S;
/// The burst begins right after the start.
const BURST_FROM: u64 = START + 300 * MS;
const BURST_UNTIL: u64 = BURST_FROM + 2 * S;
/// Gateways learn of the start within this time.
const INFORMED_WITHIN: u64 = 800 * MS;
/// Time at which some gateways restart, during the slow start.
const RESTART: u64 = START + S;

/// An attempt in flight.
struct Attempt {
    until: u64,
    gateway: usize,
    id: RequestId,
    attempt: usize,
    endpoint: EndpointId,
}

/// A fleet under load, whose first endpoints restart.
struct Simulation {
    harnesses: Vec<GatewayHarness>,
    /// Time at which each gateway learns of the start.
    informed_at: Vec<u64>,
    in_flight: VecDeque<Attempt>,
    attempts: BTreeMap<(usize, RequestId), usize>,
    endpoints: u32,
    starting: u32,
    clock: u64,
    epoch: u64,
    rng: fastrand::Rng,
    /// Times at which each restarted endpoint got a request from a gateway that knew of the start.
    received: Vec<Vec<u64>>,
}

impl Simulation {
    fn new(gateways: u32, endpoints: u32, starting: u32, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let harnesses: Vec<GatewayHarness> = (0..gateways)
            .map(|gateway_number| Simulation::gateway(gateways, gateway_number, endpoints, seed))
            .collect();
        let informed_at = harnesses.iter().map(|_| START + rng.u64(0..INFORMED_WITHIN)).collect();
        let epoch = harnesses[0].now;
        let received = vec![Vec::new(); starting as usize];
        let (in_flight, attempts) = (VecDeque::new(), BTreeMap::new());
        Simulation {
            harnesses,
            informed_at,
            in_flight,
            attempts,
            endpoints,
            starting,
            clock: 0,
            epoch,
            rng,
            received,
        }
    }

    fn gateway(gateways: u32, gateway_number: u32, endpoints: u32, seed: u64) -> GatewayHarness {
        let settings = Settings { gateways, gateway_number, max_request_units: 1.0, ..settings() };
        GatewayHarness::seeded(seed << 16 | u64::from(gateway_number), settings, endpoints)
    }

    /// The list entries of the restarted endpoints.
    fn started_endpoints(&self) -> Vec<EndpointUpdate> {
        (0..self.starting)
            .map(|endpoint| endpoint_update(endpoint, EndpointStatus::InService, Some(self.epoch + START)))
            .collect()
    }

    fn record_attempts(&mut self, gateway: usize, actions: &[Action]) {
        for (id, endpoint) in sent_attempts(actions) {
            let attempt = self.attempts.entry((gateway, id)).or_insert(0);
            let attempt_in_flight =
                Attempt { until: self.clock + SERVICE_TIME, gateway, id, attempt: *attempt, endpoint };
            *attempt += 1;
            self.in_flight.push_back(attempt_in_flight);
            let is_informed = self.clock >= self.informed_at[gateway];
            if let Some(received) = self.received.get_mut(endpoint.0 as usize).filter(|_| is_informed) {
                received.push(self.clock);
            }
        }
    }

    fn step(&mut self) {
        for gateway in 0..self.harnesses.len() {
            let actions = self.harnesses[gateway].advance(STEP);
            self.record_attempts(gateway, &actions);
        }
        self.clock += STEP;
        while self.in_flight.front().is_some_and(|attempt| attempt.until <= self.clock) {
            let Some(Attempt { gateway, id, attempt, endpoint, .. }) = self.in_flight.pop_front() else {
                return;
            };
            let actions = self.harnesses[gateway].end_attempt(id, attempt, endpoint, Outcome::Success);
            self.record_attempts(gateway, &actions);
        }
        for gateway in 0..self.harnesses.len() {
            let informed_at = self.informed_at[gateway];
            if informed_at <= self.clock && self.clock < informed_at + STEP {
                let started = self.started_endpoints();
                let actions = self.harnesses[gateway]
                    .handle(Event::EndpointsChanged { scope: WatchScope::Incremental, endpoints: started });
                self.record_attempts(gateway, &actions);
            }
        }
        let burst = (BURST_FROM..BURST_UNTIL).contains(&self.clock);
        let rate =
            CAPACITY * f64::from(self.endpoints) * LOAD_FRACTION * if burst { BURST_FACTOR } else { 1.0 };
        let due = rate * STEP as f64 / S as f64;
        let requests = due as usize + usize::from(self.rng.f64() < due.fract());
        for _ in 0..requests {
            let gateway = self.rng.usize(0..self.harnesses.len());
            let (_, actions) = self.harnesses[gateway].request(0, 3, 1, 1.0);
            self.record_attempts(gateway, &actions);
        }
    }

    /// Restarts each tenth gateway, at least one. A restarted gateway gets the current endpoint list.
    fn restart_some(&mut self) {
        let count = self.harnesses.len();
        for gateway in (0..count).step_by(10) {
            let mut harness = Simulation::gateway(
                count as u32,
                gateway as u32,
                self.endpoints,
                u64::from(self.starting) + 77,
            );
            harness.now = self.harnesses[gateway].now;
            harness.next_request = self.harnesses[gateway].next_request;
            let actions = harness.handle(Event::EndpointsChanged {
                scope: WatchScope::Incremental,
                endpoints: self.started_endpoints(),
            });
            self.harnesses[gateway] = harness;
            self.in_flight.retain(|attempt| attempt.gateway != gateway);
            self.informed_at[gateway] = self.informed_at[gateway].min(self.clock);
            self.record_attempts(gateway, &actions);
        }
    }

    /// Returns by how many requests the worst interval of the worst endpoint exceeds what the endpoint can
    /// handle; negative if none does.
    fn worst_excess(&self) -> f64 {
        let settings = settings();
        let mut worst = f64::MIN;
        for received in &self.received {
            for (first, &from) in received.iter().enumerate() {
                let within =
                    received[first..].iter().take_while(|&&at| at < from + settings.overload_after.0).count();
                let elapsed_fraction =
                    (from.saturating_sub(START)) as f64 / settings.slow_start_window.0 as f64;
                let capacity = CAPACITY
                    * (settings.slow_start_min_capacity
                        + (1.0 - settings.slow_start_min_capacity) * elapsed_fraction.min(1.0));
                let allowed = settings.overload_multiple * capacity * settings.overload_after.secs();
                let limit = allowed + 2.0 * allowed.sqrt() + 2.0;
                worst = worst.max(within as f64 - limit);
            }
        }
        worst
    }
}

fn run_simulation(gateways: u32, endpoints: u32, starting: u32, seed: u64) -> (f64, usize) {
    let mut simulation = Simulation::new(gateways, endpoints, starting, seed);
    while simulation.clock < END {
        simulation.step();
        if simulation.clock == RESTART {
            simulation.restart_some();
        }
    }
    (simulation.worst_excess(), simulation.received.iter().map(Vec::len).sum())
}

#[test]
fn all_gateways_together_do_not_overload_endpoint_in_slow_start() {
    for (gateways, endpoints) in [(1, 8), (3, 10), (30, 20), (300, 60)] {
        for starting in [1, endpoints / 2] {
            for seed in 1..=3 {
                let (worst, received) = run_simulation(gateways, endpoints, starting, seed);
                let what =
                    format!("{gateways} gateways, {starting} of {endpoints} endpoints start, seed {seed}");
                assert!(received > 0, "{what}: nothing was sent to them");
                assert!(worst <= 0.0, "{what}: {worst:.1} requests more than an endpoint can handle");
            }
        }
    }
}
