//! A small model of what surrounds gateways: clients, endpoints, discovery and the counter service.
//!
//! It answers the actions of the decision module, so that a recorded run visits what real runs visit. It is
//! deterministic by its seed. Its own types and names are those of the recorded files and never change.

use std::collections::{BTreeMap, BTreeSet};

/// Length of one step of the model, in microseconds.
pub const TICK: u64 = 2_000;
/// Microseconds in a millisecond and in a second.
pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// Number of classes and plans that the adapters define; see `CLASSES` and `PLANS`.
pub const CLASS_COUNT: usize = 6;
pub const PLAN_COUNT: usize = 5;
/// How long a call to the counter stays unanswered at most.
const COUNTER_TIMEOUT: u64 = 80 * MS;

/// A class of requests as both adapters define it.
pub struct ClassLine {
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    /// `all`, `zone` or `cell`.
    pub key_scope: &'static str,
    pub deadline: u64,
    pub on_time: u64,
    pub credit: f64,
    pub late_share: f64,
    pub window: u64,
    pub streaming: bool,
}

const fn class(name: &'static str, effect: &'static str, key_scope: &'static str) -> ClassLine {
    ClassLine {
        name,
        effect,
        key_scope,
        deadline: 3 * S,
        on_time: 800 * MS,
        credit: 1.0,
        late_share: 0.25,
        window: 0,
        streaming: false,
    }
}

pub const CLASSES: [ClassLine; CLASS_COUNT] = [
    class("view", "pure", "all"),
    ClassLine { window: S, ..class("edit", "token", "cell") },
    ClassLine { credit: 5.0, deadline: 2 * S, on_time: 300 * MS, ..class("pay", "side_effect", "all") },
    ClassLine { window: 1_500 * MS, late_share: 0.0, ..class("sync", "token", "all") },
    ClassLine { streaming: true, ..class("feed", "pure", "all") },
    ClassLine { window: 4 * S, credit: 0.2, ..class("tag", "token", "zone") },
];

/// A plan as both adapters define it.
pub struct PlanLine {
    pub name: &'static str,
    pub per_second: f64,
    pub peak_units: f64,
    pub open: f64,
    pub price: f64,
    pub extra_worth: f64,
    pub excess_cost: f64,
    pub ceiling_rate: f64,
    pub cap_depth: f64,
    pub tolerance: f64,
}

const fn plan(name: &'static str, per_second: f64, peak_units: f64) -> PlanLine {
    PlanLine {
        name,
        per_second,
        peak_units,
        open: 0.0,
        price: 1.0,
        extra_worth: 0.0,
        excess_cost: 0.0,
        ceiling_rate: 0.0,
        cap_depth: 0.0,
        tolerance: 0.0,
    }
}

pub const PLANS: [PlanLine; PLAN_COUNT] = [
    plan("basic", 10.0, 20.0),
    PlanLine { ceiling_rate: 20.0, cap_depth: 40.0, tolerance: 4.0, ..plan("ceiled", 10.0, 20.0) },
    PlanLine { open: 3.0, ..plan("narrow", 0.0, 0.0) },
    plan("free", 0.0, 0.0),
    PlanLine { open: 4.0, price: 2.0, extra_worth: 0.5, excess_cost: 0.2, ..plan("both", 30.0, 30.0) },
];

/// What an endpoint list event holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    Incremental,
    Complete,
    Failed,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    InService,
    Draining,
    Removed,
}

/// One line of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointLine {
    pub endpoint: u64,
    pub zone: u32,
    pub cell: u64,
    pub status: Status,
    pub weight: f64,
    pub started: u64,
    pub label: u32,
}

/// How an attempt or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Success,
    ServerError,
    Rejected,
    Timeout,
    ConnectFailed,
    ConnectionReset,
    Cancelled,
    NotSent,
}

/// The figures of a load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadLine {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
}

/// A request that comes in.
#[derive(Clone, Debug)]
pub struct ArrivalLine {
    pub request: u64,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    pub spread: u32,
    pub first: u32,
    pub deadline: u64,
    pub units: f64,
    pub resent: bool,
    pub upload: bool,
    /// Endpoint and time of attempts that other gateways made.
    pub prior: Vec<(u64, u64)>,
    pub counted: bool,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Stimulus {
    Start,
    Stop,
    HandOver { to: u32 },
    Endpoints { scope: Scope, endpoints: Vec<EndpointLine> },
    Arrival(ArrivalLine),
    Timer { timer: u64 },
    StreamStarted { request: u64 },
    ResponseStarted { request: u64, attempt: usize, elapsed: u64 },
    RequestBodyEnded { request: u64, deadline: u64 },
    ClientDisconnected { request: u64 },
    Pong { endpoint: u64, how: How, load: LoadLine },
    CounterReplied { key: u64, how: How, total: f64 },
    AttemptEnded(AttemptLine),
    Maintenance { endpoint: u64, active: bool },
    PeerProcessExited,
    QuotaLease { fraction: f64, until: u64, absent: Vec<u32> },
    Routing { variant: usize, share: u16 },
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptLine {
    pub request: u64,
    pub attempt: usize,
    pub endpoint: u64,
    pub how: How,
    pub elapsed: u64,
    pub final_answer: bool,
    pub settled: f64,
    pub load: LoadLine,
}

/// What a gateway does.
#[derive(Clone, Debug)]
pub enum Response {
    Send { request: u64, endpoint: u64, give_up_at: u64 },
    Reject { request: u64, retry_after: Option<u64> },
    Fail { request: u64 },
    Cancel { request: u64, attempt: usize },
    Count { key: u64, amount: f64 },
    SetTimer { timer: u64, after: u64 },
    Subscribe,
}

/// How the counter service works at present.
#[derive(Clone, Copy, Debug)]
enum CounterState {
    Healthy,
    Slow,
    Mixed,
    Full,
    Unreachable,
    Errors,
}

/// How an endpoint works at present.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Refuses,
    Silent,
    Errors,
    Slow,
    Full,
    Resets,
}

/// What changes around the gateways.
#[derive(Clone, Debug)]
enum Change {
    NextArrival,
    Random,
    Counter(CounterState),
    ForgetCounts,
    EndpointFault { endpoint: usize, fault: Fault },
    EndpointStatus { endpoint: usize, status: Status },
    EndpointRestart { endpoint: usize },
    CompleteList { gateway: u32 },
    ListFailed { gateway: u32 },
    Restart { gateway: u32 },
}

enum Item {
    Change(Change),
    Tell { gateway: u32, incarnation: u32, stimulus: Stimulus },
}

struct Endpoint {
    line: EndpointLine,
    fault: Fault,
    in_flight: f64,
}

struct Attempt {
    endpoint: u64,
    sent: u64,
    /// Place in the queue of its end.
    ends: Option<(u64, u64)>,
}

#[derive(Default)]
struct Request {
    arrival: Option<ArrivalLine>,
    attempts: Vec<Attempt>,
    closed: bool,
    body_ends: u64,
}

/// What a run is made of.
#[derive(Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    /// Number of gateways of the site, and those that are played.
    pub gateways: u32,
    pub played: Vec<u32>,
    pub endpoints: usize,
    pub customers: u64,
    /// Requests a second over all played gateways, each until the given time in seconds.
    pub rates: Vec<(u64, f64)>,
    /// Events that only the module's own interface carries are played too.
    pub module_only: bool,
    pub counter: bool,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub retry_after: bool,
    pub must_subscribe: bool,
    /// Usual time of an answer.
    pub work: u64,
    /// An endpoint that refuses connections for long: its number, and from when to when in seconds.
    pub outage: Option<(usize, u64, u64)>,
    /// Events at fixed times.
    pub schedule: Vec<(u64, u32, Stimulus)>,
}

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

    fn change(&mut self, change: Change) {
        match change {
            Change::NextArrival => self.next_arrival(),
            Change::Random => {
                self.random_change();
                let pause = self.rng.u64(150 * MS..600 * MS);
                self.put(self.now + pause, Item::Change(Change::Random));
            }
            Change::Counter(state) => self.counter = state,
            Change::ForgetCounts => self.counts.clear(),
            Change::EndpointFault { endpoint, fault } => self.endpoints[endpoint].fault = fault,
            Change::EndpointStatus { endpoint, status } => {
                self.endpoints[endpoint].line.status = status;
                self.tell_all_of(&[endpoint]);
            }
            Change::EndpointRestart { endpoint } => {
                let at = self.now;
                let endpoint_now = &mut self.endpoints[endpoint];
                endpoint_now.fault = Fault::None;
                endpoint_now.line.status = Status::InService;
                endpoint_now.line.started = at;
                self.tell_all_of(&[endpoint]);
            }
            Change::CompleteList { gateway } => {
                let list = self.complete_list();
                self.tell(gateway, self.now, list);
            }
            Change::ListFailed { gateway } => {
                let lost = Stimulus::Endpoints { scope: Scope::Failed, endpoints: Vec::new() };
                self.tell(gateway, self.now, lost);
            }
            Change::Restart { gateway } => {
                self.tell(gateway, self.now, Stimulus::Stop);
                self.tell(gateway, self.now, Stimulus::Timer { timer: 1 });
                *self.incarnations.entry(gateway).or_default() += 1;
                let back = self.now + 300 * MS;
                self.start(gateway, back);
            }
        }
    }

    /// Tells all gateways of endpoints that changed, each somewhat later than the one before.
    fn tell_all_of(&mut self, changed: &[usize]) {
        let endpoints: Vec<EndpointLine> = changed.iter().map(|&i| self.endpoints[i].line.clone()).collect();
        for gateway in self.running.clone() {
            let late = self.rng.u64(0..60 * MS);
            let stimulus = Stimulus::Endpoints { scope: Scope::Incremental, endpoints: endpoints.clone() };
            self.tell(gateway, self.now + late, stimulus);
        }
    }

    fn random_change(&mut self) {
        let endpoint = self.rng.usize(0..self.endpoints.len());
        let later = self.now + self.rng.u64(500 * MS..3 * S);
        let gateway = self.open.get(self.rng.usize(0..self.open.len().max(1))).copied().unwrap_or(0);
        match self.rng.u32(0..14) {
            0..=3 => {
                let faults =
                    [Fault::Refuses, Fault::Silent, Fault::Errors, Fault::Slow, Fault::Full, Fault::Resets];
                let fault = faults[self.rng.usize(0..faults.len())];
                self.change(Change::EndpointFault { endpoint, fault });
                self.put(later, Item::Change(Change::EndpointFault { endpoint, fault: Fault::None }));
            }
            4 => {
                self.change(Change::EndpointStatus { endpoint, status: Status::Draining });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            5 => {
                self.change(Change::EndpointStatus { endpoint, status: Status::Removed });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            6 => {
                // A restart that the list tells late.
                self.change(Change::EndpointFault { endpoint, fault: Fault::Refuses });
                self.put(later, Item::Change(Change::EndpointRestart { endpoint }));
            }
            7..=9 => {
                let states = [
                    CounterState::Slow,
                    CounterState::Mixed,
                    CounterState::Full,
                    CounterState::Unreachable,
                    CounterState::Errors,
                ];
                self.counter = states[self.rng.usize(0..states.len())];
                self.put(later, Item::Change(Change::Counter(CounterState::Healthy)));
            }
            10 => self.change(Change::ForgetCounts),
            11 => self.change(Change::CompleteList { gateway }),
            12 => {
                self.change(Change::ListFailed { gateway });
                self.put(later, Item::Change(Change::CompleteList { gateway }));
            }
            _ if self.rng.u32(0..3) == 0 && !self.scenario.module_only => {
                self.change(Change::Restart { gateway });
            }
            _ => {
                let load = self.load_of(endpoint);
                let stimulus = Stimulus::Pong { endpoint: endpoint as u64, how: How::Success, load };
                self.tell(gateway, self.now, stimulus);
            }
        }
    }

    fn next_arrival(&mut self) {
        let since = (self.now - 1_000 * S) / S;
        let rate = self.scenario.rates.iter().find(|r| since < r.0).map_or(0.0, |r| r.1);
        if rate <= 0.0 {
            self.put(self.now + S, Item::Change(Change::NextArrival));
            return;
        }
        let gap = ((0.05 + 1.9 * self.rng.f64()) / rate * 1e6) as u64;
        self.put(self.now + gap.clamp(100, 2 * S), Item::Change(Change::NextArrival));
        if self.open.is_empty() {
            return;
        }
        let gateway = self.open[self.rng.usize(0..self.open.len())];
        // Few customers have most of the traffic.
        let customer = (self.rng.f64().powi(3) * self.scenario.customers as f64) as u64;
        let class = self.rng.usize(0..CLASS_COUNT);
        let units = [1.0, 1.0, 2.0, 0.5, 4.0][self.rng.usize(0..5)];
        let spread = self.scenario.gateways.min(2 + (customer % 3) as u32);
        let mut arrival = ArrivalLine {
            request: 0,
            class,
            plan: customer as usize % PLAN_COUNT,
            customer: 0x91f0_3b7c_0000_0000 + customer,
            spread,
            first: (customer % u64::from(self.scenario.gateways)) as u32,
            deadline: 0,
            units,
            resent: false,
            upload: false,
            prior: Vec::new(),
            counted: false,
        };
        if self.scenario.module_only {
            arrival.upload = self.rng.u32(0..6) == 0 && !CLASSES[class].streaming;
            if !arrival.upload && self.rng.u32(0..12) == 0 {
                let endpoint = self.rng.u64(0..self.endpoints.len() as u64);
                let ago = self.rng.u64(0..1_200 * MS);
                arrival.prior.push((endpoint, self.now - ago));
                arrival.counted = self.rng.bool();
            }
        }
        self.arrive(gateway, self.now, arrival);
    }

    fn arrive(&mut self, gateway: u32, at: u64, mut arrival: ArrivalLine) {
        arrival.request = self.next_request;
        self.next_request += 1;
        arrival.deadline = at + CLASSES[arrival.class].deadline;
        let mut body_ends = 0;
        if arrival.upload {
            body_ends = at + self.rng.u64(10 * MS..900 * MS);
            let deadline = body_ends + CLASSES[arrival.class].deadline;
            arrival.deadline = at + 30 * S;
            let request = arrival.request;
            self.tell(gateway, body_ends, Stimulus::RequestBodyEnded { request, deadline });
        }
        let id = arrival.request;
        // Attempts of this gateway are numbered after those of others.
        let prior = |&(endpoint, sent): &(u64, u64)| Attempt { endpoint, sent, ends: None };
        let attempts = arrival.prior.iter().map(prior).collect();
        let request = Request { arrival: Some(arrival.clone()), attempts, closed: false, body_ends };
        self.requests.insert((gateway, id), request);
        self.tell(gateway, at, Stimulus::Arrival(arrival.clone()));
        let leaves = if self.rng.u32(0..30) == 0 { self.rng.u64(MS..S) } else { 4 * S };
        let leaves = if arrival.upload { leaves + 31 * S } else { leaves };
        self.tell(gateway, at + leaves, Stimulus::ClientDisconnected { request: id });
    }

    fn load_of(&mut self, endpoint: usize) -> LoadLine {
        let in_flight = self.endpoints[endpoint].in_flight;
        match self.rng.u32(0..4) {
            0 => LoadLine::default(),
            1 => LoadLine { in_flight: Some(in_flight), ..LoadLine::default() },
            2 => LoadLine { queued: Some(1.0), busy: Some(0.5), ..LoadLine::default() },
            _ => LoadLine { in_flight: Some(in_flight + 1.0), queued: Some(0.0), busy: Some(0.25) },
        }
    }

    /// Takes what a gateway did.
    pub fn react(&mut self, gateway: u32, response: Response) {
        match response {
            Response::Send { request, endpoint, give_up_at } => {
                self.send(gateway, request, endpoint, give_up_at);
            }
            Response::Reject { request, retry_after } => self.rejected(gateway, request, retry_after),
            Response::Fail { request } => {
                if let Some(request) = self.requests.get_mut(&(gateway, request)) {
                    request.closed = true;
                }
            }
            Response::Cancel { request, attempt } => self.cancel(gateway, request, attempt),
            Response::Count { key, amount } => self.count(gateway, key, amount),
            Response::SetTimer { timer, after } => {
                self.tell(gateway, self.now + after, Stimulus::Timer { timer });
            }
            Response::Subscribe => {
                let list = self.complete_list();
                let lost = Stimulus::Endpoints { scope: Scope::Failed, endpoints: Vec::new() };
                let told = if self.rng.u32(0..4) == 0 { lost } else { list };
                self.tell(gateway, self.now + 5 * MS, told);
            }
        }
    }

    fn rejected(&mut self, gateway: u32, request: u64, retry_after: Option<u64>) {
        let Some(request) = self.requests.get_mut(&(gateway, request)) else { return };
        request.closed = true;
        let Some(arrival) = request.arrival.take() else { return };
        if arrival.upload || !arrival.prior.is_empty() || self.rng.u32(0..3) != 0 {
            return;
        }
        let pause = retry_after.unwrap_or(150 * MS) + self.rng.u64(0..100 * MS);
        let resent = self.rng.bool();
        if self.open.contains(&gateway) {
            self.arrive(gateway, self.now + pause, ArrivalLine { resent, ..arrival });
        }
    }

    fn cancel(&mut self, gateway: u32, request_id: u64, attempt_number: usize) {
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        let Some(place) = attempt.ends.take() else { return };
        let (endpoint, elapsed) = (attempt.endpoint, self.now - attempt.sent);
        self.queue.remove(&place);
        let how = How::Cancelled;
        self.end(gateway, self.now + MS, (request_id, attempt_number), endpoint, how, elapsed);
    }

    fn end(
        &mut self,
        gateway: u32,
        at: u64,
        (request, attempt): (u64, usize),
        endpoint: u64,
        how: How,
        elapsed: u64,
    ) {
        let load = self.load_of(endpoint as usize);
        let settles = how == How::Success && self.rng.u32(0..5) == 0;
        let settled = if settles { [0.5, 1.0, 3.0][self.rng.usize(0..3)] } else { 0.0 };
        let final_answer = false;
        let line = AttemptLine { request, attempt, endpoint, how, elapsed, final_answer, settled, load };
        let place = self.tell(gateway, at, Stimulus::AttemptEnded(line));
        if let Some(request) = self.requests.get_mut(&(gateway, request)) {
            if let Some(attempt) = request.attempts.get_mut(attempt) {
                attempt.ends = Some(place);
            }
        }
    }

    fn send(&mut self, gateway: u32, request_id: u64, endpoint: u64, give_up_at: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&(gateway, request_id)) else { return };
        let attempt = request.attempts.len();
        request.attempts.push(Attempt { endpoint, sent: now, ends: None });
        let class = request.arrival.as_ref().map_or(0, |a| a.class);
        // The work on an upload begins with its last byte.
        let begins = request.body_ends.max(now);
        let Some(to) = self.endpoints.get_mut(endpoint as usize) else { return };
        to.in_flight += 1.0;
        let (fault, in_flight, weight) = (to.fault, to.in_flight, to.line.weight);
        let slow = if fault == Fault::Slow { 12.0 } else { 1.0 };
        let usual = self.scenario.work as f64 * [1.0, 1.0, 0.5, 2.0, 1.0, 1.5][class];
        let work = usual * (0.4 + 1.2 * self.rng.f64()) * (1.0 + in_flight / (6.0 * weight)) * slow;
        let (how, ends) = match fault {
            Fault::Refuses => (How::ConnectFailed, now + MS),
            Fault::Silent => (How::Timeout, give_up_at),
            Fault::Errors => (How::ServerError, begins + self.rng.u64(20 * MS..700 * MS)),
            Fault::Full => (How::Rejected, begins + 3 * MS),
            Fault::Resets => (How::ConnectionReset, begins + 30 * MS),
            Fault::None | Fault::Slow if in_flight > 24.0 => (How::Rejected, begins + 3 * MS),
            Fault::None | Fault::Slow => match self.rng.u32(0..120) {
                0 => (How::ServerError, begins + 20 * MS),
                1 => (How::ConnectionReset, begins + 20 * MS),
                2 => (How::NotSent, now + MS),
                _ => (How::Success, begins + work as u64),
            },
        };
        let (how, ends) = if ends >= give_up_at { (How::Timeout, give_up_at) } else { (how, ends) };
        let key = (request_id, attempt);
        if how == How::Success && CLASSES[class].streaming {
            self.tell(gateway, ends, Stimulus::StreamStarted { request: request_id });
            let rest = self.rng.u64(20 * MS..900 * MS);
            let how = if self.rng.u32(0..8) == 0 { How::ConnectionReset } else { How::Success };
            return self.end(gateway, ends + rest, key, endpoint, how, ends + rest - now);
        }
        let long = self.scenario.module_only && how == How::Success && self.rng.u32(0..6) == 0;
        if long {
            let elapsed = ends - now;
            let started = Stimulus::ResponseStarted { request: request_id, attempt, elapsed };
            self.tell(gateway, ends, started);
            let rest = self.rng.u64(20 * MS..900 * MS);
            return self.end(gateway, ends + rest, key, endpoint, how, elapsed + rest);
        }
        self.end(gateway, ends, key, endpoint, how, ends.saturating_sub(now));
    }

    fn count(&mut self, gateway: u32, key: u64, amount: f64) {
        let state = match self.counter {
            CounterState::Mixed => {
                let states = [CounterState::Healthy, CounterState::Slow, CounterState::Full];
                states[self.rng.usize(0..states.len())]
            }
            state => state,
        };
        let delay = self.rng.u64(500..3 * MS);
        let (how, delay, adds) = match state {
            CounterState::Healthy | CounterState::Mixed => (How::Success, delay, true),
            CounterState::Slow => {
                let delay = self.rng.u64(20 * MS..200 * MS);
                let how = if delay > COUNTER_TIMEOUT { How::Timeout } else { How::Success };
                (how, delay.min(COUNTER_TIMEOUT), true)
            }
            CounterState::Full => (How::Rejected, delay, false),
            CounterState::Unreachable => (How::ConnectFailed, delay, false),
            CounterState::Errors => (How::ServerError, delay, true),
        };
        let total = self.counts.entry(key).or_default();
        if adds {
            *total += amount;
        }
        let total = if how == How::Success { *total } else { 0.0 };
        self.tell(gateway, self.now + delay, Stimulus::CounterReplied { key, how, total });
    }
}
