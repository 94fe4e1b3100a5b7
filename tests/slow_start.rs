//! Slow start: what all gateways together send to endpoints that have just started, at any number of gateways.
mod common;
use common::{endpoint_update, sent_attempts, settings, GatewayHarness, MS, S};
use quota_gateway::decision::{
    Action, EndpointId, EndpointStatus, EndpointUpdate, Event, Outcome, RequestId, Settings, WatchScope,
};
use std::collections::{BTreeMap, VecDeque};

const STEP: u64 = 10 * MS;
/// Requests a second that one warm endpoint can do.
const CAPACITY: f64 = 20.0;
/// Part of that which comes on the whole fleet, and how many times as much in the burst.
const LOAD: f64 = 0.6;
const BURST: f64 = 1.8;
/// How long a request is at its endpoint.
const SERVICE: u64 = 100 * MS;
/// When the endpoints start, and the play ends.
const START: u64 = 6 * S;
const END: u64 = 14 * S;
/// When there is a burst: right after the start.
const BURST_FROM: u64 = START + 300 * MS;
const BURST_UNTIL: u64 = BURST_FROM + 2 * S;
/// The last gateway is told so long after the first.
const TOLD_WITHIN: u64 = 800 * MS;
/// When some gateways restart, inside the ramp.
const RESTART: u64 = START + S;

/// An attempt that is at its endpoint.
struct Out {
    until: u64,
    gateway: usize,
    id: RequestId,
    attempt: usize,
    endpoint: EndpointId,
}

/// A fleet whose first endpoints start anew while it is under load.
struct Play {
    rigs: Vec<GatewayHarness>,
    /// When each gateway is told of the start.
    told_at: Vec<u64>,
    out: VecDeque<Out>,
    attempts: BTreeMap<(usize, RequestId), usize>,
    endpoints: u32,
    cold: u32,
    clock: u64,
    epoch: u64,
    rng: fastrand::Rng,
    /// When each cold endpoint got a request from a gateway that knew of its start.
    got: Vec<Vec<u64>>,
}

impl Play {
    fn new(gateways: u32, endpoints: u32, cold: u32, seed: u64) -> Play {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rigs: Vec<GatewayHarness> =
            (0..gateways).map(|me| Play::gateway(gateways, me, endpoints, seed)).collect();
        let told_at = rigs.iter().map(|_| START + rng.u64(0..TOLD_WITHIN)).collect();
        let epoch = rigs[0].now;
        let got = vec![Vec::new(); cold as usize];
        let (out, attempts) = (VecDeque::new(), BTreeMap::new());
        Play { rigs, told_at, out, attempts, endpoints, cold, clock: 0, epoch, rng, got }
    }

    fn gateway(gateways: u32, me: u32, endpoints: u32, seed: u64) -> GatewayHarness {
        let set = Settings { gateways, gateway_number: me, max_request_units: 1.0, ..settings() };
        GatewayHarness::seeded(seed << 16 | u64::from(me), set, endpoints)
    }

    /// The list as a gateway has it that knows of the start.
    fn started(&self) -> Vec<EndpointUpdate> {
        (0..self.cold)
            .map(|i| endpoint_update(i, EndpointStatus::InService, Some(self.epoch + START)))
            .collect()
    }

    fn note(&mut self, gateway: usize, actions: &[Action]) {
        for (id, endpoint) in sent_attempts(actions) {
            let attempt = self.attempts.entry((gateway, id)).or_insert(0);
            let out = Out { until: self.clock + SERVICE, gateway, id, attempt: *attempt, endpoint };
            *attempt += 1;
            self.out.push_back(out);
            let knows = self.clock >= self.told_at[gateway];
            if let Some(got) = self.got.get_mut(endpoint.0 as usize).filter(|_| knows) {
                got.push(self.clock);
            }
        }
    }

    fn step(&mut self) {
        for gateway in 0..self.rigs.len() {
            let led = self.rigs[gateway].advance(STEP);
            self.note(gateway, &led);
        }
        self.clock += STEP;
        while self.out.front().is_some_and(|out| out.until <= self.clock) {
            let Some(Out { gateway, id, attempt, endpoint, .. }) = self.out.pop_front() else { return };
            let led = self.rigs[gateway].end_attempt(id, attempt, endpoint, Outcome::Success);
            self.note(gateway, &led);
        }
        for gateway in 0..self.rigs.len() {
            let told_at = self.told_at[gateway];
            if told_at <= self.clock && self.clock < told_at + STEP {
                let started = self.started();
                let led = self.rigs[gateway]
                    .handle(Event::EndpointsChanged { scope: WatchScope::Incremental, endpoints: started });
                self.note(gateway, &led);
            }
        }
        let burst = (BURST_FROM..BURST_UNTIL).contains(&self.clock);
        let rate = CAPACITY * f64::from(self.endpoints) * LOAD * if burst { BURST } else { 1.0 };
        let due = rate * STEP as f64 / S as f64;
        let requests = due as usize + usize::from(self.rng.f64() < due.fract());
        for _ in 0..requests {
            let gateway = self.rng.usize(0..self.rigs.len());
            let (_, led) = self.rigs[gateway].request(0, 3, 1, 1.0);
            self.note(gateway, &led);
        }
    }

    /// Each tenth gateway, one at least, starts again and is told of the endpoints as they are.
    fn restart_some(&mut self) {
        let all = self.rigs.len();
        for gateway in (0..all).step_by(10) {
            let mut harness =
                Play::gateway(all as u32, gateway as u32, self.endpoints, u64::from(self.cold) + 77);
            harness.now = self.rigs[gateway].now;
            harness.next_request = self.rigs[gateway].next_request;
            let led = harness.handle(Event::EndpointsChanged {
                scope: WatchScope::Incremental,
                endpoints: self.started(),
            });
            self.rigs[gateway] = harness;
            self.out.retain(|out| out.gateway != gateway);
            self.told_at[gateway] = self.told_at[gateway].min(self.clock);
            self.note(gateway, &led);
        }
    }

    /// How far the worst span of the worst endpoint lies above what it bears, in requests; below nothing: it holds.
    fn worst(&self) -> f64 {
        let set = settings();
        let mut worst = f64::MIN;
        for got in &self.got {
            for (first, &from) in got.iter().enumerate() {
                let within = got[first..].iter().take_while(|&&at| at < from + set.overload_after.0).count();
                let warmed = (from.saturating_sub(START)) as f64 / set.slow_start_window.0 as f64;
                let present = CAPACITY
                    * (set.slow_start_min_capacity + (1.0 - set.slow_start_min_capacity) * warmed.min(1.0));
                let allowed = set.overload_multiple * present * set.overload_after.secs();
                let most = allowed + 2.0 * allowed.sqrt() + 2.0;
                worst = worst.max(within as f64 - most);
            }
        }
        worst
    }
}

fn play(gateways: u32, endpoints: u32, cold: u32, seed: u64) -> (f64, usize) {
    let mut play = Play::new(gateways, endpoints, cold, seed);
    while play.clock < END {
        play.step();
        if play.clock == RESTART {
            play.restart_some();
        }
    }
    (play.worst(), play.got.iter().map(Vec::len).sum())
}

#[test]
fn sum_over_all_gateways_stays_within_what_an_endpoint_in_slow_start_bears() {
    for (gateways, endpoints) in [(1, 8), (3, 10), (30, 20), (300, 60)] {
        for cold in [1, endpoints / 2] {
            for seed in 1..=3 {
                let (worst, got) = play(gateways, endpoints, cold, seed);
                let what = format!("{gateways} gateways, {cold} of {endpoints} endpoints start, seed {seed}");
                assert!(got > 0, "{what}: nothing was sent to them");
                assert!(worst <= 0.0, "{what}: {worst:.1} requests more than one bears");
            }
        }
    }
}
