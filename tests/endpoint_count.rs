//! The same traffic and capacity for each gateway, with few large endpoints and with sixteen times as many small ones: what
//! is served must not fall with the number of endpoints.
mod common;
use common::{settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, AttemptEnded, EndpointId, Event, LoadReport, Micros, Outcome, RequestId, Settings, TimerId,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const GATEWAYS: u32 = 60;
/// Requests a second that come to one gateway.
const TRAFFIC: f64 = 6.0;
/// Mean work of a request, exponentially distributed.
const WORK: f64 = 400.0 * MS as f64;
/// An answer within this is in time.
const AIM: u64 = 2400 * MS;
/// The part of all endpoints' capacity that the traffic takes.
const LOAD: f64 = 0.7;
/// Requests that may wait at a endpoint for each one in work.
const QUEUE: usize = 8;
/// What is served with many small endpoints, at the least: few large ones are no measure where they are served badly.
const LEAST_SERVED: f64 = 0.85;
const WARM_UP: u64 = 5 * S;
const END: u64 = 25 * S;

struct Machine {
    slots: usize,
    /// When each piece of work ends, and what waits.
    busy: usize,
    waiting: VecDeque<(usize, RequestId, u64)>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    Done { gateway: usize, id: RequestId, endpoint: usize, sent: u64 },
    Turned { gateway: usize, id: RequestId, endpoint: usize },
    Timer(usize, TimerId),
}

struct Play {
    rigs: Vec<GatewayHarness>,
    machines: Vec<Machine>,
    agenda: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    serial: u64,
    rng: fastrand::Rng,
    epoch: u64,
    clock: u64,
    attempts: HashMap<(usize, RequestId), usize>,
    taken: usize,
    in_time: usize,
    arrived: HashMap<(usize, RequestId), u64>,
}

impl Play {
    fn new(slots: usize, seed: u64) -> Play {
        let busy = f64::from(GATEWAYS) * TRAFFIC * WORK / S as f64;
        let endpoints = (busy / LOAD / slots as f64).ceil() as usize;
        let gateway = |me: u32| {
            let mut set =
                Settings { gateways: GATEWAYS, gateway_number: me, max_request_units: 1.0, ..settings() };
            set.classes[0].latency_objective = Micros(AIM);
            GatewayHarness::seeded(seed << 16 | u64::from(me), set, endpoints as u32)
        };
        let rigs: Vec<GatewayHarness> = (0..GATEWAYS).map(gateway).collect();
        let machine = || Machine { slots, busy: 0, waiting: VecDeque::new() };
        let epoch = rigs[0].now;
        let mut play = Play {
            rigs,
            machines: (0..endpoints).map(|_| machine()).collect(),
            agenda: BinaryHeap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            epoch,
            clock: 0,
            attempts: HashMap::new(),
            taken: 0,
            in_time: 0,
            arrived: HashMap::new(),
        };
        (0..GATEWAYS as usize).for_each(|gateway| play.expect_arrival(gateway));
        play
    }
    fn at(&mut self, at: u64, what: Happening) {
        self.serial += 1;
        self.agenda.push(Reverse((at, self.serial, what)));
    }
    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean) as u64 + 1
    }
    fn expect_arrival(&mut self, gateway: usize) {
        let after = self.exponential(S as f64 / TRAFFIC);
        self.at(self.clock + after, Happening::Arrival(gateway));
    }
    fn begin(&mut self, endpoint: usize, gateway: usize, id: RequestId, sent: u64) {
        self.machines[endpoint].busy += 1;
        let work = self.exponential(WORK);
        self.at(self.clock + work, Happening::Done { gateway, id, endpoint, sent });
    }
    fn carry_out(&mut self, gateway: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendAttempt { request: id, endpoint, .. } => {
                    *self.attempts.entry((gateway, id)).or_insert(0) += 1;
                    let endpoint = endpoint.0 as usize;
                    let machine = &mut self.machines[endpoint];
                    if machine.busy < machine.slots {
                        self.begin(endpoint, gateway, id, self.clock);
                    } else if machine.waiting.len() < machine.slots * QUEUE {
                        machine.waiting.push_back((gateway, id, self.clock));
                    } else {
                        self.at(self.clock + MS, Happening::Turned { gateway, id, endpoint });
                    }
                }
                Action::SetTimer { timer: id, after } => {
                    self.at(self.clock + after.0, Happening::Timer(gateway, id))
                }
                _ => {}
            }
        }
    }
    fn tell(&mut self, gateway: usize, event: Event) {
        let harness = &mut self.rigs[gateway];
        harness.now = self.epoch + self.clock;
        let mut out = Vec::new();
        harness.gateway.handle(Micros(harness.now), event, &mut out);
        self.carry_out(gateway, out);
    }
    fn ended(&mut self, gateway: usize, id: RequestId, endpoint: usize, outcome: Outcome, took: u64) {
        let held = self.machines[endpoint].busy + self.machines[endpoint].waiting.len();
        let report = LoadReport { in_flight: Some(held as f64), ..LoadReport::default() };
        let attempt = self.attempts.get(&(gateway, id)).map_or(0, |n| n - 1);
        let ended = outcome == Outcome::Success;
        let endpoint = EndpointId(endpoint as u64);
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed: Micros(took),
            request_finished: ended,
            settled_units: None,
            load: report,
        };
        self.tell(gateway, Event::AttemptEnded(end));
    }
    /// The part of the requests that is answered within the latency objective.
    fn served(mut self) -> f64 {
        while let Some(Reverse((at, _, what))) = self.agenda.pop().filter(|next| next.0 .0 < END) {
            self.clock = at;
            match what {
                Happening::Arrival(gateway) => {
                    self.expect_arrival(gateway);
                    let harness = &mut self.rigs[gateway];
                    harness.now = self.epoch + self.clock;
                    let (id, out) = harness.request(0, 3, 1, 1.0);
                    if at >= WARM_UP {
                        self.taken += 1;
                        self.arrived.insert((gateway, id), at);
                    }
                    self.carry_out(gateway, out);
                }
                Happening::Timer(gateway, id) => self.tell(gateway, Event::TimerFired { timer: id }),
                Happening::Turned { gateway, id, endpoint } => {
                    self.ended(gateway, id, endpoint, Outcome::Rejected, MS)
                }
                Happening::Done { gateway, id, endpoint, sent } => {
                    self.machines[endpoint].busy -= 1;
                    if let Some((other, next, sent)) = self.machines[endpoint].waiting.pop_front() {
                        self.begin(endpoint, other, next, sent);
                    }
                    let came = self.arrived.remove(&(gateway, id));
                    self.in_time += usize::from(came.is_some_and(|came| at - came <= AIM));
                    self.ended(gateway, id, endpoint, Outcome::Success, at - sent);
                }
            }
        }
        self.in_time as f64 / self.taken as f64
    }
}

#[test]
fn served_fraction_does_not_fall_with_the_number_of_endpoints() {
    for seed in 1..=3 {
        let [few, many] = [16, 1].map(|slots| Play::new(slots, seed).served());
        println!("seed {seed}: {few:.3} with few endpoints, {many:.3} with many");
        assert!(many >= 0.85 * few, "seed {seed}: {many:.3} with many endpoints, {few:.3} with few");
        assert!(many >= LEAST_SERVED, "seed {seed}: {many:.3} with many endpoints");
    }
}
