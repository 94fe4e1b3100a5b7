//! The one owner of the decision module: events in, actions out, timers. It translates and never chooses;
//! its request table sees to it that every request gets exactly one final answer.

mod attempts;
mod endpoints;
mod messages;

pub use messages::{
    send_event, AdminCommand, AdminSender, AttemptId, Clock, FinalResponse, NewRequest, RuntimeEvent,
    RuntimeSender,
};

use crate::cluster::rollout::{Arm, RequestOutcome, RolloutKey, RuleConfig};
use crate::cluster::RoutingInForce;
use crate::decision::{
    has_canary_rules, Action, Arrival, AttemptEnded, CellId, ClassId, CounterKey, EndpointCounts, EndpointId,
    EndpointStatus, EndpointUpdate, Event, Gateway, LoadReport, Micros, Outcome, PlanId, QuotaLease,
    RejectionReason, RequestId, RouteRule, RoutingRules, TimerId, WatchScope,
};
use crate::proxy::admin::metrics::{Metrics, NotSentReason};
use crate::proxy::cluster_transport::outcome_recorder::{OutcomeRecorder, RolloutAssignment, RolloutOutcome};
use crate::proxy::control_plane::config::{Config, ConfigError};
use crate::proxy::control_plane::counter::{Counted, Counter, Order};
use crate::proxy::control_plane::discovery::{DiscoveredEndpoint, EndpointList};
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::handover::{Will, Word};
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::upstream::attempt::AttemptResult;
use crate::proxy::upstream::backend::Backend;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use crate::proxy::upstream::pool::ConnectionPool;
use crate::proxy::upstream::response::UpstreamResponseBody;
use crate::site_settings::Site;
use http_body_util::Full;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

/// How many inputs may wait for the driver; whoever has one more waits with it.
const INBOX: usize = 1024;
/// How many orders of operators may wait for the driver.
const ORDERS: usize = 16;
/// How often connections that stand idle are looked at.
const RETIRE_EVERY: Duration = Duration::from_secs(1);

/// How long a gateway that knows a list from before waits for news of it before it is ready.
const WAIT_FOR_DISCOVERY: Duration = Duration::from_secs(1);

/// A request in the table: until it has its answer and nothing of it is out.
struct Open {
    reply: Option<oneshot::Sender<FinalResponse>>,
    forward: Rc<ForwardedRequest>,
    attempts: Vec<Attempt>,
    /// How it ends is counted for a rollout.
    judged: Option<RolloutAssignment>,
}

struct Attempt {
    out: bool,
    /// Calls it off.
    call_off: Option<oneshot::Sender<()>>,
}

impl Open {
    /// The way to the client, for the one answer; nothing more is sent for it.
    fn take_reply(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.forward.wanted.set(false);
        self.reply.take()
    }
    fn over(&self) -> bool {
        self.reply.is_none() && !self.attempts.iter().any(|a| a.out)
    }
}

/// The driver.
pub struct Runtime {
    gateway: Gateway,
    site: Site,
    clock: Clock,
    tick: Duration,
    inbox: RuntimeSender,
    inputs: mpsc::Receiver<RuntimeEvent>,
    orders: mpsc::Receiver<AdminCommand>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryBudget>,
    counter: Option<Rc<Counter>>,
    order: Order,
    backends: HashMap<EndpointId, Rc<Backend>>,
    /// The list of backends as it was last told.
    listed: HashMap<EndpointId, DiscoveredEndpoint>,
    /// When backends started: as told, in milliseconds of the wall clock, and on the own clock.
    starts: HashMap<EndpointId, (u64, Micros)>,
    revision: u64,
    /// The way to the other process of this gateway, while there is one.
    other: Option<mpsc::Sender<Word>>,
    requests: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Micros, TimerId)>>,
    batch: Vec<Event>,
    actions: Vec<Action>,
    /// Told once the list of backends is in hand.
    duty: Rc<Lifecycle>,
    figures: Rc<Metrics>,
    /// When the list known from before is taken for it.
    ready_at: Option<Instant>,
    /// The rollout that runs, and how it deals the customers out.
    rolled: Option<(RolloutKey, RoutingRules)>,
    /// Where its ends are counted.
    arms: Rc<OutcomeRecorder>,
}

impl Runtime {
    /// A driver that knows nothing yet but the configuration.
    pub fn new(
        config: Config,
        clock: Clock,
        duty: Rc<Lifecycle>,
        figures: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
    ) -> Result<(Runtime, AdminSender), ConfigError> {
        let Config { site, counter, sockets, seed, known, conn_idle, fleet, .. } = config;
        let gateway = Gateway::new(seed, site.settings.clone()).map_err(ConfigError::from)?;
        let connect_timeout = duration(site.settings.connect_timeout);
        let (inbox, inputs) = mpsc::channel(INBOX);
        let (ordering, orders) = mpsc::channel(ORDERS);
        let counter =
            counter.map(|a| Counter::new(a, duration(site.settings.counter_timeout), sockets.counter));
        let mut driver = Runtime {
            gateway,
            clock,
            // A gateway that calls its module without pause would only burn its core.
            tick: duration(site.settings.tick).max(Duration::from_millis(1)),
            site,
            inbox,
            inputs,
            orders,
            pool: Rc::new(ConnectionPool::new(
                sockets.backends,
                connect_timeout,
                conn_idle,
                figures.clone(),
                memory.clone(),
            )),
            memory,
            counter: counter.map(Rc::new),
            order: Order::default(),
            backends: HashMap::new(),
            listed: HashMap::new(),
            starts: HashMap::new(),
            revision: 0,
            other: None,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            batch: Vec::new(),
            actions: Vec::new(),
            duty,
            figures,
            ready_at: None,
            rolled: None,
            arms: Rc::default(),
        };
        // Where shares are lent, this gateway's may be with others until it is known not to be.
        let part = fleet.map_or(0.0, |fleet| fleet.lendable_part);
        if part > 0.0 {
            driver
                .batch
                .push(Event::QuotaLeaseChanged(QuotaLease { fraction: part, ..QuotaLease::default() }));
        }
        // It may be old, but it is what there is until discovery speaks, which is waited for a little.
        if !known.endpoints.is_empty() {
            driver.members(EndpointList { complete: true, ..known });
            driver.ready_at = Some(Instant::now() + WAIT_FOR_DISCOVERY);
        }
        Ok((driver, ordering))
    }

    /// How requests end under a rollout is noted there.
    pub fn counts(&mut self, arms: Rc<OutcomeRecorder>) {
        self.arms = arms;
    }

    /// The way in.
    pub fn inbox(&self) -> RuntimeSender {
        self.inbox.clone()
    }

    /// Runs for ever. Like the simulator it tells the module what has come in at most once a tick.
    pub async fn run(mut self) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(RETIRE_EVERY).await;
                pool.retire();
            }
        });
        let mut last = Instant::now();
        loop {
            let due = match self.timers.peek() {
                _ if !self.batch.is_empty() => Some(last + self.tick),
                Some(Reverse((at, _))) => Some(self.clock.instant(*at).max(last + self.tick)),
                None => None,
            };
            tokio::select! {
                biased;
                Some(order) = self.orders.recv() => self.obey(order),
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    last = Instant::now();
                    self.turn();
                }
                () = sleep_until(self.ready_at.unwrap_or_else(Instant::now)), if self.ready_at.is_some() => {
                    self.become_ready();
                }
                input = self.inputs.recv() => {
                    let mut next = input;
                    while let Some(input) = next {
                        self.take(input);
                        next = self.inputs.try_recv().ok();
                    }
                }
            }
        }
    }

    /// Tells the module all that has come in and carries out what it decides.
    fn turn(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            self.batch.extend(self.timers.pop().map(|Reverse((_, id))| Event::TimerFired { timer: id }));
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.batch) {
            let ends = match &event {
                Event::ClientDisconnected { request: id } => Some(*id),
                Event::AttemptEnded(end) => Some(end.request),
                _ => None,
            };
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            // Not before the module has heard: until then it may send for this request, and each of its sends
            // must be told its end, or the place that it takes at a server is never free again.
            ends.into_iter().for_each(|id| self.tidy(id));
        }
        self.actions = actions;
    }

    /// Translates what came in to an event of the module's.
    fn take(&mut self, input: RuntimeEvent) {
        match input {
            RuntimeEvent::RequestReceived(taken) => {
                let NewRequest { arrival, forward, reply } = *taken;
                debug!(
                    request = arrival.id.0,
                    call = forward.call_id(),
                    class = arrival.class.0,
                    customer = arrival.customer.0,
                    "taken"
                );
                // The module counts the attempts of earlier owners as well.
                let before = arrival.prior_attempts.iter().map(|_| Attempt { out: false, call_off: None });
                let attempts: Vec<Attempt> = before.collect();
                let judged = self.rolled.as_ref().map(|(key, routing)| RolloutAssignment {
                    key: *key,
                    arm: if has_canary_rules(routing, arrival.customer) {
                        Arm::Canary
                    } else {
                        Arm::Baseline
                    },
                    class: arrival.class,
                    came: self.clock.now(),
                    before: attempts.len(),
                });
                let open = Open { reply: Some(reply), forward: Rc::new(forward), attempts, judged };
                self.requests.insert(arrival.id, open);
                self.batch.push(Event::RequestArrived(arrival));
            }
            RuntimeEvent::ClientDisconnected(id) => {
                if self.requests.get_mut(&id).and_then(Open::take_reply).is_some() {
                    debug!(request = id.0, "the client left");
                    self.batch.push(Event::ClientDisconnected { request: id });
                }
            }
            RuntimeEvent::EndpointsChanged(list) => {
                self.members(list);
                self.become_ready();
            }
            RuntimeEvent::CounterAddressChanged(address) => {
                // Calls under way end where they were made.
                self.counter = self.counter.take().map(|counter| Rc::new(counter.moved(address)));
            }
            RuntimeEvent::QuotaLeaseChanged(lent) => self.batch.push(Event::QuotaLeaseChanged(lent)),
            RuntimeEvent::RoutingChanged(in_force) => self.routing(*in_force),
            RuntimeEvent::CounterReplied { name, call, reply } => {
                let ready = self.order.answered(name, call, reply);
                self.batch.extend(ready.into_iter().map(|c| Event::CounterReplied {
                    key: name,
                    outcome: c.outcome,
                    total: c.total,
                }));
            }
            RuntimeEvent::RequestBodyEnded { request: id, deadline } => {
                self.batch.push(Event::RequestBodyEnded { request: id, deadline })
            }
            RuntimeEvent::AttemptEnded { attempt: ended_attempt, result: ended, elapsed: took } => {
                let AttemptId { request: id, number: attempt, endpoint: server } = ended_attempt;
                let Some(open) = self.requests.get_mut(&id) else { return };
                let not_sent = ended.not_sent;
                debug!(request = id.0, attempt, outcome = ?ended.outcome, ?not_sent, took_us = took.0, "attempt ends");
                self.figures.attempt_outcomes.increment(ended.outcome);
                // The first 200 is the client's at once and ends the request; the module hears of it.
                let judged = open.judged.filter(|_| ended.body.is_some() && open.reply.is_some());
                if let Some(judged) = judged {
                    let at = self.clock.now();
                    let aim = self
                        .site
                        .settings
                        .classes
                        .get(judged.class.0)
                        .map_or(Micros(1), |c| c.latency_objective);
                    let part_of_aim = (at - judged.came).secs() / aim.secs().max(1e-6);
                    let ended =
                        if part_of_aim <= 1.0 { RequestOutcome::OnTime } else { RequestOutcome::Late };
                    self.arms.note(RolloutOutcome { judged, at, ended, part_of_aim });
                }
                match ended.body.and_then(|body| Some((body, open.take_reply()?))) {
                    Some((UpstreamResponseBody::Streamed(mut download), reply)) => {
                        let inbox = self.inbox.clone();
                        download.on_end(move |whole| {
                            send_event(
                                &inbox,
                                RuntimeEvent::ResponseBodyEnded { attempt: ended_attempt, complete: whole },
                            )
                        });
                        self.batch.push(Event::ResponseStarted { request: id, attempt, elapsed: took });
                        let _ = reply.send(FinalResponse::Served(ResponseBody::Streamed(download)));
                        return;
                    }
                    Some((UpstreamResponseBody::Buffered(bytes, room), reply)) => {
                        if let Some(claim) = &open.forward.claim {
                            claim.complete(&bytes);
                        }
                        let _ =
                            reply.send(FinalResponse::Served(ResponseBody::Buffered(Full::new(bytes), room)));
                    }
                    None => {}
                }
                self.attempt_over(id, attempt);
                self.ended(id, attempt, server, ended.outcome, took, ended.report);
            }
            RuntimeEvent::ResponseBodyEnded { attempt, complete: whole } => {
                let AttemptId { request: id, number: attempt, endpoint: server } = attempt;
                self.attempt_over(id, attempt);
                let outcome = if whole { Outcome::Success } else { Outcome::ConnectionReset };
                self.ended(id, attempt, server, outcome, Micros(0), LoadReport::default());
            }
        }
    }

    /// Names become the numbers by which the module knows them.
    fn routing(&mut self, in_force: RoutingInForce) {
        let RoutingInForce { key, counts_outcomes, baseline, canary, canary_share: share } = in_force;
        let own = self.site.settings.zone;
        let mut routes = |rules: Vec<RuleConfig>| -> Vec<Rc<RouteRule>> {
            let here = rules.into_iter().filter_map(|rule| {
                let zone = rule.zone.as_ref().map(|zone| self.site.zone(zone));
                zone.is_none_or(|zone| zone == own).then_some(rule)
            });
            here.collect::<Vec<_>>().into_iter().map(|rule| Rc::new(route(&mut self.site, rule))).collect()
        };
        let salt = key.map_or(0, |key| key.id);
        let routing = RoutingRules {
            baseline: routes(baseline.0),
            canary: routes(canary.0),
            canary_share: share,
            salt,
        };
        self.rolled = key.filter(|_| counts_outcomes).map(|key| (key, routing.clone()));
        self.batch.push(Event::RoutingChanged(routing));
    }

    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(Open::over) {
            self.requests.remove(&id);
        }
    }
}

/// A rule in the module's terms.
fn route(site: &mut Site, rule: RuleConfig) -> RouteRule {
    let part = |percent: u16| f64::from(percent) / 100.0;
    RouteRule {
        class: rule.class.and_then(|name| site.classes.get(&name).copied()).map(ClassId),
        plan: rule.plan.and_then(|name| site.plans.get(&name).copied()).map(PlanId),
        zone_weights: rule
            .zone_weights
            .iter()
            .map(|(zone, weight)| (site.zone(zone), part(*weight)))
            .collect(),
        label_weights: rule
            .label_weights
            .iter()
            .map(|(label, weight)| (site.label(label), part(*weight)))
            .collect(),
        max_attempts: rule.max_attempts.map(usize::from),
        give_up_fraction: rule.give_up_percent.map(|percent| part(percent.into())),
        slow_start_fraction: rule.slow_start_percent.map(|percent| part(percent.into())),
    }
}

/// A span as the runtime has it.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}

#[cfg(test)]
mod tests;
