//! Every decision of a gateway. What it is told and what it may do stands in `src/api.rs`.
//!
//! Here: constants, the life of a request, facts from outside. In `rules/`: quotas, choice of a server,
//! attempts, routing.

mod attempts;
mod quota;
mod routing;
mod selection;

pub use crate::decision::HandoverState;
pub(crate) use quota::Breaker;
pub use routing::has_canary_rules;

use crate::decision::state::*;
use crate::decision::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The source's breaker: failures in a row that open it, and its cooldown.
const FAILURES_TO_OPEN: f64 = 3.0;
const COOLDOWN: Micros = Micros(5_000_000);
/// Share of requests that ask: cut by each failed call, raised by each answer, and never below.
const ASK_CUT: f64 = 0.8;
const ASK_GROW: f64 = 1.02;
const LEAST_PART: f64 = 0.05;
/// The share with which asking begins again when a probe was answered.
const ASK_AGAIN: f64 = 0.5;
/// The share of repeats that ask is the share of first tries to this power.
const REPEAT_POWER: i32 = 3;
/// How long after a refusal the like of it counts as its repeat.
const REPEAT_SPAN: Micros = Micros(1_000_000);
/// Life of one count of attempts out, so that what a killed gateway held is forgotten; of idle customers.
const EPOCH: Micros = Micros(5_000_000);
const FORGET: Micros = Micros(120_000_000);
/// Weights of the newest sample, and window, in smoothed figures; time over which flow is averaged.
const SMOOTH: f64 = 0.1;
const CARRY: f64 = 0.3;
const FLOW_SPAN: f64 = 2.0;
/// Deterministic subsetting: servers in a gateway's own part of the fleet, at least, and for each unit a
/// second that it sends on. More spreads its load better, fewer lets it learn of each in a second or two.
const REACH_LEAST: f64 = 8.0;
const REACH_FLOW: f64 = 1.0;
/// Attempts that all gateways together may have out at one server when learning starts; no gateway starts
/// with more than `LIMIT_START` of them. Low: a bound that must first be cut costs late answers.
const FLEET_START: f64 = 6.0;
/// Bounds on attempts out at one server: where learning starts, the least, what a late answer leaves of it,
/// what an early one adds. All but the cut are scaled to the gateway's part (`scale`).
const LIMIT_START: f64 = 2.0;
const LIMIT_LEAST: f64 = 0.1;
const LIMIT_CUT: f64 = 0.7;
const LIMIT_GROW: f64 = 0.03;
/// An answer that takes, with twice the server's usual time, more than this part of the aim says that it
/// holds too much; one earlier than the second, while the bound was in use, that it could hold more.
const LATE_PART: f64 = 0.85;
const GROW_PART: f64 = 0.25;
/// What a late answer leaves of the part that passes, what others add.
const PASS_CUT: f64 = 0.85;
const PASS_GROW: f64 = 0.01;
/// How fast what a server said of its load goes stale, in seconds.
const TOLD_SPAN: f64 = 1.0;
/// All servers are looked at for the slow start at most once in this time for each of them: at every tick up to some
/// hundreds, seldom enough in the largest fleet that requests there cost no more.
const PASS_EVERY: Micros = Micros(10);
/// Attempts that a gateway with a small part may have out, whatever the bounds: fewer hold what comes by
/// chance at the same moment.
const FEW_OUT: f64 = 2.0;
/// Share of failed or late attempts over all servers below which trouble lies with single servers.
const CALM_SHARE: f64 = 0.15;
/// Outlier ejection: smoothed share of failures (four in a row pass it), first time out, its doublings.
const EJECT_SHARE: f64 = 0.3;
const EJECT_FIRST: Micros = Micros(1_000_000);
const EJECT_DOUBLINGS: u32 = 3;
/// Smoothed share of failures above which attempts at a server are given up early: one in the last six or so.
const SUSPECT_SHARE: f64 = SMOOTH / 2.0;
/// A server that turned a request away is left alone for this long.
const REST: Micros = Micros(100_000);
/// Retry budget: further attempts earned by each request, and the most saved up.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// Part of the aim left for a further attempt when the first is given up early, and tried at the least.
const SPARE_PART: f64 = 0.3;
/// Longest wait for a free server, as part of the aim, and how often held requests are looked at.
const HOLD_PART: f64 = 0.3;
const HOLD_STEP: Micros = Micros(10_000);
/// The elder's part of the places at servers while two processes form the gateway. It has its last requests
/// only, one for each connection that a client kept.
const ELDER_PART: f64 = 0.25;

/// One gateway. It shares nothing with others but what the counter tells.
#[derive(Default)]
pub struct Gateway {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    /// When it began to let customers in by itself.
    since: Option<Micros>,
    out: Vec<Action>,
    breaker: Breaker,
    /// Share of requests that ask the counter.
    ask: f64,
    last_failed: Option<CustomerId>,
    calls: BTreeMap<CounterKey, VecDeque<Call>>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: BTreeMap<RequestId, Request>,
    servers: BTreeMap<EndpointId, Server>,
    /// Those of them in slow start, so that a request need not look at all of a large fleet for them.
    cold: BTreeSet<EndpointId>,
    /// When all of them were looked at last.
    swept: Micros,
    /// Chance decides which of them may be sent to, and those that it drew for the last request.
    draws: bool,
    drawn: Vec<EndpointId>,
    /// The listed servers, in an order that all gateways share.
    ring: Vec<EndpointId>,
    timers: BTreeMap<TimerId, Timer>,
    /// Attempts out at all servers.
    out_now: f64,
    held: Vec<RequestId>,
    hold_timer: bool,
    retries: f64,
    flow: TokenBucket,
    /// Smoothed over all servers: time to answer, share of attempts that failed or came too late.
    latency: f64,
    fail_share: f64,
    /// The same of how many requests servers say they hold.
    inflight: f64,
    /// Part of the requests of usual worth that the servers can take, and the usual worth.
    pass: f64,
    usual_worth: f64,
    serial: u64,
    role: ProcessRole,
    /// Shares that are lent among the gateways, where they are, and how often that has changed.
    lent: Option<QuotaLease>,
    turn: u64,
    /// Rules of routing, where any are in force.
    routing: RoutingRules,
}

impl Gateway {
    /// A gateway as it starts, knowing nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<Gateway, SettingsError> {
        set.check()?;
        let rng = fastrand::Rng::with_seed(seed);
        let must_subscribe = set.must_subscribe;
        let mut new = Gateway { set, rng, retries: RETRY_SAVED, ask: 1.0, pass: 1.0, ..Gateway::default() };
        // Goes out with the first event, whichever that is.
        new.timer(Timer::Sweep, FORGET);
        new.out.extend(must_subscribe.then_some(Action::Subscribe));
        Ok(new)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.since = self.since.or(Some(self.now));
        match event {
            Event::EndpointsChanged { scope, endpoints: entries } => self.on_servers(scope, entries),
            Event::RequestArrived(arrival) => self.on_request(arrival),
            Event::TimerFired { timer } => self.on_timer(timer),
            Event::StreamStarted { request: id } => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true);
            }
            Event::ResponseStarted { request: id, attempt, elapsed: took } => {
                self.on_answer_begun(id, attempt, took)
            }
            Event::RequestBodyEnded { request: id, deadline } => self.on_body_ended(id, deadline),
            Event::ClientDisconnected { request: id } => self.finish(id, None),
            Event::CounterReplied { key: name, outcome, total } => self.on_counted(name, outcome, total),
            Event::AttemptEnded(end) => self.on_attempt(end),
            Event::MaintenanceChanged { endpoint: server, in_maintenance: out } => {
                self.on_maintenance(server, out)
            }
            Event::PeerProcessExited => self.on_alone(),
            Event::QuotaLeaseChanged(lent) => self.on_lent(lent),
            Event::RoutingChanged(routing) => self.routing = routing,
        }
        out.append(&mut self.out);
    }

    fn timer(&mut self, timer: Timer, after: Micros) {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.timers.insert(id, timer);
        self.out.push(Action::SetTimer { timer: id, after });
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.timers.remove(&id) {
            // Every request has its answer by its deadline.
            Some(Timer::Deadline(id)) if self.requests.get(&id).is_none_or(|r| r.done || r.streaming) => {}
            Some(Timer::Deadline(id)) => self.refuse(id, RejectionReason::DeadlineExceeded),
            Some(Timer::Held) => {
                self.hold_timer = false;
                self.serve_held();
            }
            Some(Timer::Resubscribe) => self.out.extend(self.set.must_subscribe.then_some(Action::Subscribe)),
            Some(Timer::Sweep) => {
                self.customers.retain(|_, c| c.used + FORGET >= self.now || c.out > 0.0);
                self.timer(Timer::Sweep, FORGET);
            }
            None => {}
        }
    }

    fn on_request(&mut self, a: Arrival) {
        let (id, now, customer, plan) = (a.id, self.now, a.customer, a.plan.0);
        if a.class.0 >= self.set.classes.len() || plan >= self.set.plans.len() {
            return self.out.push(Action::Reject {
                request: id,
                retry_after: None,
                reason: RejectionReason::UnknownClassOrPlan,
            });
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        // Before the deadline by two ticks: a timer may come one late, and the answer takes one.
        self.timer(Timer::Deadline(id), a.deadline - now - self.set.tick - self.set.tick);
        let c = self.customers.entry(customer).or_default();
        if c.used == Micros(0) {
            // Empty at the start of this life, as an earlier one may have spent it. Filled since, though
            // the customer came only now: with many gateways most see it for the first time.
            c.beyond.at = self.since.unwrap_or(now).max(now - FORGET);
        }
        (c.plan, c.spread, c.first, c.used) = (plan, f64::from(a.spread.max(1)), a.first_gateway, now);
        // Where clients do not mark repeats: the like of what was refused here a moment ago.
        let alike = |r: &Refusal| r.class == a.class && r.units == a.units && now < r.at + REPEAT_SPAN;
        let resent = a.is_retry || c.refused.as_ref().is_some_and(alike);
        // What others sent of it and may have run bounds what may be sent here, as this gateway's own does.
        let before = |e: &PriorAttempt| Attempt {
            server: e.endpoint,
            sent: e.sent_at,
            may_have_run: true,
            ..Attempt::default()
        };
        let (attempts, counted) = (a.prior_attempts.iter().map(before).collect(), a.already_counted);
        let a = Arrival { is_retry: resent, ..a };
        let route = self.route_of(&a);
        self.requests.insert(id, Request { a, arrived: now, attempts, route, ..Request::default() });
        self.roll(customer);
        if !counted && self.shed(id) {
            return self.refuse(id, RejectionReason::LoadShed);
        }
        match self.set.plans[plan].rate > 0.0 && !counted {
            true => self.ask_window(id),
            false => self.ask_place(id),
        }
    }

    fn worth(&self, r: &Request) -> f64 {
        self.set.classes[r.a.class.0].priority_weight * self.set.plans[r.a.plan.0].weight_factor
    }

    /// Adaptive throttling before the servers: refuses by chance as many as came back late of late, those
    /// worth little first. Guards against overload where a gateway has too few attempts out to bound them.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let worth = self.worth(r);
        self.usual_worth += SMOOTH / 3.0 * (worth - self.usual_worth);
        let power = if worth > 0.0 { (self.usual_worth / worth).powi(2) } else { f64::MAX };
        self.sparse() && self.rng.f64() > self.pass.powf(power)
    }

    // ---- the life of a request ----

    fn admit(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if self.set.plans[r.a.plan.0].concurrency_quota > 0.0 {
            r.holds_place = true;
            self.customers.get_mut(&r.a.customer).into_iter().for_each(|c| c.out += 1.0);
        }
        self.dispatch(id);
    }

    /// Refuses with a retry-after where that is allowed, or fails.
    fn refuse(&mut self, id: RequestId, reason: RejectionReason) {
        let Some(r) = self.requests.get(&id) else { return };
        let wait = (self.set.retry_after && self.set.plans[r.a.plan.0].rate > 0.0)
            .then(|| self.span(r.a.customer, self.window_of(r.a.plan.0).0).1.min(self.set.max_retry_after));
        let answer = match self.may_refuse(r) {
            true => Action::Reject { request: id, retry_after: wait, reason },
            false => Action::Fail { request: id, reason },
        };
        if let Some(c) = self.customers.get_mut(&r.a.customer) {
            c.refused = Some(Refusal { class: r.a.class, units: r.a.units, at: self.now });
        }
        self.finish(id, Some(answer));
    }

    /// The request has its final answer; what is still out is called off.
    fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            r.done = true;
            self.out.extend(answer);
            let recall = self.set.may_cancel && !r.streaming;
            let still_out = r.attempts.iter().enumerate().filter(|(_, a)| a.out && recall);
            self.out.extend(still_out.map(|(i, _)| Action::CancelAttempt { request: id, attempt: i }));
        }
        self.let_go(id);
    }

    /// Forgets a finished request once nothing of it is out, and frees its place.
    fn let_go(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.done && !r.is_out()) else { return };
        let (customer, units) = (r.a.customer, r.a.units);
        let (held, counted) = (std::mem::take(&mut r.holds_place), r.counted.take());
        // A call still out needs to know whether the request went on.
        if r.asking == 0 {
            self.requests.remove(&id);
        }
        counted.into_iter().for_each(|span| self.take_back(customer, span, units));
        if held {
            self.customers.get_mut(&customer).into_iter().for_each(|c| c.out -= 1.0);
            self.sync_places(customer);
        }
    }

    fn on_servers(&mut self, scope: WatchScope, entries: Vec<EndpointUpdate>) {
        if scope == WatchScope::Failed {
            let wait = Micros(500_000 + self.rng.u64(0..500_000));
            return self.timer(Timer::Resubscribe, wait);
        }
        if scope == WatchScope::Complete {
            self.servers.values_mut().for_each(|s| s.listed = None);
        }
        let (now, cold, units) = (self.now, self.set.slow_start_window, self.set.max_request_units);
        let changed: Vec<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
        for e in entries {
            let new = || Server { limit: LIMIT_START, ..Server::default() };
            let s = self.servers.entry(e.endpoint).or_insert_with(new);
            let started = e.started_at.filter(|&at| now < at + cold);
            if started.is_some_and(|started| s.cold_since.is_none_or(|at| at < started)) {
                // A new life: nothing held against the old one counts, and it starts slowly.
                *s = Server { out: s.out, maintained: s.maintained, ..new() };
                let level = -units * (1.0 + self.rng.f64()); // Seeded: gateways do not all send at once.
                s.cold_room = TokenBucket { level, depth: 1.0, rate: 0.0, at: now };
            }
            s.cold_since = started.or(s.cold_since);
            if s.cold_since.is_some() {
                self.cold.insert(e.endpoint);
            }
            (s.zone, s.cell, s.label) = (e.zone, e.cell, e.label);
            s.weight = if e.weight > 0.0 { e.weight } else { 1.0 };
            s.listed = Some(e.status).filter(|&listed| listed != EndpointStatus::Removed);
        }
        match scope {
            WatchScope::Incremental => self.line_up_changed(&changed),
            _ => self.line_up(),
        }
    }

    /// The same as `line_up` where these servers alone may have changed: their places in the ring are looked up, so that a
    /// small change costs little in a large fleet.
    fn line_up_changed(&mut self, changed: &[EndpointId]) {
        for id in changed {
            let serves = self.servers.get(id).is_some_and(Server::in_service);
            match (self.ring.binary_search(id), serves) {
                (Err(place), true) => self.ring.insert(place, *id),
                (Ok(place), false) => drop(self.ring.remove(place)),
                _ => {}
            }
        }
        self.serve_held();
    }

    fn line_up(&mut self) {
        self.ring = self.servers.iter().filter(|(_, s)| s.in_service()).map(|(&id, _)| id).collect();
        self.serve_held();
    }

    /// An operator's word goes before the list's: out, a server counts as draining; put back, it was
    /// restarted meanwhile, for all that is known, and is cold. Calling twice is as good as once.
    fn on_maintenance(&mut self, server: EndpointId, out: bool) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&server).filter(|s| s.maintained != out) else { return };
        s.maintained = out;
        if !out {
            let (zone, cell, label, weight, listed) = (s.zone, s.cell, s.label, s.weight, s.listed);
            *s = Server {
                zone,
                cell,
                label,
                weight,
                listed,
                out: s.out,
                limit: LIMIT_START,
                ..Server::default()
            };
            s.cold_since = Some(now);
            s.cold_room = TokenBucket { level: 0.0, depth: 1.0, rate: 0.0, at: now };
            self.cold.insert(server);
        }
        self.line_up();
    }

    /// How many endpoints are listed, and how many of them are excluded.
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        let listed = || self.servers.values().filter(|s| s.listed.is_some());
        EndpointCounts {
            known: listed().count(),
            excluded: listed().filter(|s| !s.in_service() || now < s.ejected_until).count(),
        }
    }

    /// The other process of this gateway is gone. An elder that is alone again after all starts with empty
    /// buckets, as after a restart: its share had gone to the younger.
    fn on_alone(&mut self) {
        if std::mem::take(&mut self.role) == ProcessRole::Predecessor {
            self.since = Some(self.now);
            for c in self.customers.values_mut() {
                (c.beyond.level, c.beyond.at, c.bucket) = (0.0, self.now, None);
            }
        }
    }

    /// What another process needs to go on as this gateway. What was owed to the counter is its to pay.
    pub fn hand_over(&mut self) -> HandoverState {
        self.role = ProcessRole::Predecessor;
        let mut customers = Vec::with_capacity(self.customers.len());
        for (&id, c) in &mut self.customers {
            let w = &mut c.window;
            // What calls under way carry, they pay.
            let tally = Tally { seen: w.seen + w.posting, posted: 0.0, posting: 0.0, ..w.clone() };
            (w.seen, w.owed) = (w.seen + w.owed, 0.0);
            let epoch = Tally::default();
            customers.push((id, Customer { window: tally, epoch, out: 0.0, ..c.clone() }));
        }
        HandoverState {
            servers: self.servers.iter().map(|(&id, s)| (id, s.clone())).collect(),
            customers,
            breaker: Breaker { probing: false, ..self.breaker.clone() },
            ask: self.ask,
            flow: self.flow.clone(),
            latency: self.latency,
            fail_share: self.fail_share,
            pass: self.pass,
            usual_worth: self.usual_worth,
        }
    }

    /// Goes on where another process was. The own list says who is in service; a life of a server's that only
    /// that list knows is a new one.
    pub fn take_over(&mut self, estate: HandoverState) {
        for (id, theirs) in estate.servers {
            let theirs = Server { out: 0.0, ejections: theirs.ejections.min(EJECT_DOUBLINGS), ..theirs };
            let own = self.servers.entry(id).or_default();
            if own.cold_since > theirs.cold_since {
                own.maintained = theirs.maintained;
                continue;
            }
            let (zone, cell, label, weight) = (own.zone, own.cell, own.label, own.weight);
            let (listed, out) = (own.listed, own.out);
            *own = Server { zone, cell, label, weight, listed, out, ..theirs };
            if own.cold_since.is_some() {
                self.cold.insert(id);
            }
        }
        self.draws = false;
        let plans = self.set.plans.len();
        self.customers.extend(estate.customers.into_iter().filter(|(_, c)| c.plan < plans));
        (self.breaker, self.ask, self.flow) =
            (estate.breaker, estate.ask.clamp(LEAST_PART, 1.0), estate.flow);
        (self.latency, self.fail_share) = (estate.latency, estate.fail_share);
        (self.pass, self.usual_worth) = (estate.pass.clamp(LEAST_PART, 1.0), estate.usual_worth);
        self.role = ProcessRole::Successor;
        self.line_up();
    }
}

/// The part of its capacity that a server has at least, so long after its start.
fn warmed(set: &Settings, since: Micros) -> f64 {
    set.slow_start_min_capacity
        + (1.0 - set.slow_start_min_capacity) * (since.secs() / set.slow_start_window.secs()).min(1.0)
}
