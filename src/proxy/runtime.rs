//! The one owner of the decision module: events in, actions out, timers. It translates and never chooses; its request
//! table sees to it that every request gets exactly one final answer.

mod admin_commands;
mod attempts;
pub mod clock;
mod endpoints;
pub mod messages;
mod requests;
mod routing;
mod timers;

pub use clock::{duration, Clock};
pub use messages::{
    send_event, AdminCommand, AdminSender, AttemptId, FinalResponse, NewRequest, RuntimeEvent, RuntimeSender,
};

use crate::decision::{Action, EndpointId, Event, Gateway, Micros, QuotaLease, RequestId};
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::cluster_transport::outcome_recorder::OutcomeRecorder;
use crate::proxy::control_plane::config::{Config, ConfigError};
use crate::proxy::control_plane::counter::{CounterClient, ReplyOrder};
use crate::proxy::control_plane::discovery::{DiscoveredEndpoint, EndpointList};
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::lifecycle::handover::HandoverMessage;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::upstream::backend::Backend;
use crate::proxy::upstream::pool::ConnectionPool;
use crate::site_settings::Site;
use endpoints::EndpointStart;
use requests::{OpenRequest, RequestTable};
use routing::ActiveRollout;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::debug;

/// How many events may wait for the runtime; whoever has one more waits with it.
const MAX_QUEUED_EVENTS: usize = 1024;
/// How many commands may wait for the runtime.
const MAX_QUEUED_COMMANDS: usize = 16;
/// How often idle connections to backends are looked at.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a gateway that knows an endpoint list from before waits for discovery's before it is ready.
const DISCOVERY_WAIT: Duration = Duration::from_secs(1);
/// The shortest time between two turns: a gateway that calls its decision module without pause would only burn its core.
const MIN_TICK: Duration = Duration::from_millis(1);

/// What the runtime shares with the rest of the process.
#[derive(Clone)]
pub struct SharedParts {
    /// The decision module's clock.
    pub clock: Clock,
    /// Whether the process serves, drains or ends.
    pub lifecycle: Rc<Lifecycle>,
    /// Counts what happens, for operators.
    pub metrics: Rc<Metrics>,
    /// The budget for buffers.
    pub memory: Rc<MemoryBudget>,
    /// Takes the outcomes of requests and attempts.
    pub outcomes: Rc<OutcomeRecorder>,
}

/// The owner of the decision module.
pub struct Runtime {
    gateway: Gateway,
    site: Site,
    clock: Clock,
    /// The shortest time between two turns.
    tick: Duration,
    sender: RuntimeSender,
    events: mpsc::Receiver<RuntimeEvent>,
    commands: mpsc::Receiver<AdminCommand>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryBudget>,
    counter: Option<Rc<CounterClient>>,
    counter_replies: ReplyOrder,
    backends: HashMap<EndpointId, Rc<Backend>>,
    /// The endpoint list as discovery last sent it.
    listed: HashMap<EndpointId, DiscoveredEndpoint>,
    starts: HashMap<EndpointId, EndpointStart>,
    list_revision: u64,
    /// Sends the other process of this gateway messages, while there is one.
    other_process: Option<mpsc::Sender<HandoverMessage>>,
    requests: RequestTable,
    timers: Timers,
    /// Events for the decision module, which it handles at the next turn.
    pending_events: Vec<Event>,
    /// Reused by each turn, to save the allocation.
    actions: Vec<Action>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// When the gateway serves by the list that it knows from before.
    ready_at: Option<Instant>,
    rollout: Option<ActiveRollout>,
    outcomes: Rc<OutcomeRecorder>,
}

impl Runtime {
    /// A runtime that knows nothing yet but the configuration, and the way of commands to it.
    ///
    /// # Errors
    /// The settings contradict each other.
    pub fn new(config: Config, shared: SharedParts) -> Result<(Runtime, AdminSender), ConfigError> {
        let SharedParts { clock, lifecycle, metrics, memory, outcomes } = shared;
        let Config { site, counter, sockets, seed, known_endpoints, backend_idle_timeout, cluster, .. } =
            config;
        let settings = &site.settings;
        let gateway = Gateway::new(seed, settings.clone()).map_err(ConfigError::from)?;
        let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let (admin_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let counter_timeout = duration(settings.counter_timeout);
        let counter = counter.map(|address| CounterClient::new(address, counter_timeout, sockets.counter));
        let pool = ConnectionPool::new(
            sockets.backends,
            duration(settings.connect_timeout),
            backend_idle_timeout,
            metrics.clone(),
            memory.clone(),
        );
        let mut runtime = Runtime {
            gateway,
            clock,
            tick: duration(settings.tick).max(MIN_TICK),
            site,
            sender,
            events,
            commands,
            pool: Rc::new(pool),
            memory,
            counter: counter.map(Rc::new),
            counter_replies: ReplyOrder::default(),
            backends: HashMap::new(),
            listed: HashMap::new(),
            starts: HashMap::new(),
            list_revision: 0,
            other_process: None,
            requests: RequestTable::default(),
            timers: Timers::default(),
            pending_events: Vec::new(),
            actions: Vec::new(),
            lifecycle,
            metrics,
            ready_at: None,
            rollout: None,
            outcomes,
        };
        runtime.start_quota_lease(cluster.map_or(0.0, |cluster| cluster.lendable_part));
        runtime.start_from_known_list(known_endpoints);
        Ok((runtime, admin_sender))
    }

    /// Where quota shares are leased, this gateway's may be with others until it is known not to be.
    fn start_quota_lease(&mut self, lendable_part: f64) {
        if lendable_part > 0.0 {
            let lease = QuotaLease { fraction: lendable_part, ..QuotaLease::default() };
            self.pending_events.push(Event::QuotaLeaseChanged(lease));
        }
    }

    /// The list from before may be old, but it is what there is until discovery answers, which is waited for a little.
    fn start_from_known_list(&mut self, known: EndpointList) {
        if !known.endpoints.is_empty() {
            self.apply_endpoint_list(EndpointList { complete: true, ..known });
            self.ready_at = Some(Instant::now() + DISCOVERY_WAIT);
        }
    }

    /// Sends this runtime events.
    pub fn sender(&self) -> RuntimeSender {
        self.sender.clone()
    }

    /// Runs for ever. Like the simulator it passes events on to the decision module at most once a tick.
    pub async fn run(mut self) {
        tokio::task::spawn_local(close_idle_connections(self.pool.clone()));
        let mut last_turn = Instant::now();
        loop {
            let next_turn = self.next_turn(last_turn);
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => self.run_command(command),
                () = sleep_until(next_turn.unwrap_or_else(Instant::now)), if next_turn.is_some() => {
                    last_turn = Instant::now();
                    self.turn();
                }
                () = sleep_until(self.ready_at.unwrap_or_else(Instant::now)), if self.ready_at.is_some() => {
                    self.become_ready();
                }
                event = self.events.recv() => {
                    let mut next = event;
                    while let Some(event) = next {
                        self.handle_event(event);
                        next = self.events.try_recv().ok();
                    }
                }
            }
        }
    }

    /// When the decision module is called next: a tick after the last turn where an event waits, else with the next timer.
    fn next_turn(&self, last_turn: Instant) -> Option<Instant> {
        let earliest = last_turn + self.tick;
        if !self.pending_events.is_empty() {
            return Some(earliest);
        }
        let timer: Micros = self.timers.next_at()?;
        Some(self.clock.instant(timer).max(earliest))
    }

    /// Passes all pending events on to the decision module and carries out what it decides.
    fn turn(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_fired(now) {
            self.pending_events.push(Event::TimerFired { timer });
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.pending_events) {
            let ended_request = request_that_may_be_finished(&event);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action);
            }
            // Not before the decision module has heard: until then it may send for this request, and each of its sends
            // must be reported as ended, or the capacity that it takes at an endpoint is never free again.
            if let Some(request) = ended_request {
                self.requests.remove_if_finished(request);
            }
        }
        self.actions = actions;
    }

    /// Translates what came in to an event of the decision module.
    fn handle_event(&mut self, event: RuntimeEvent) {
        match event {
            RuntimeEvent::RequestReceived(request) => self.request_received(*request),
            RuntimeEvent::RequestBodyEnded { request, deadline } => {
                self.pending_events.push(Event::RequestBodyEnded { request, deadline });
            }
            RuntimeEvent::ClientDisconnected(request) => self.client_disconnected(request),
            RuntimeEvent::EndpointsChanged(list) => {
                self.apply_endpoint_list(list);
                self.become_ready();
            }
            RuntimeEvent::CounterAddressChanged(address) => {
                // Calls in flight end where they were made.
                self.counter = self.counter.take().map(|counter| Rc::new(counter.at_address(address)));
            }
            RuntimeEvent::QuotaLeaseChanged(lease) => {
                self.pending_events.push(Event::QuotaLeaseChanged(lease));
            }
            RuntimeEvent::RoutingChanged(in_force) => self.apply_routing(*in_force),
            RuntimeEvent::CounterReplied { key, call, reply } => {
                for reply in self.counter_replies.reply_received(key, call, reply) {
                    let (outcome, total) = (reply.outcome, reply.total);
                    self.pending_events.push(Event::CounterReplied { key, outcome, total });
                }
            }
            RuntimeEvent::AttemptEnded { attempt, result, elapsed } => {
                self.attempt_ended(attempt, result, elapsed);
            }
            RuntimeEvent::ResponseBodyEnded { attempt, complete } => {
                self.response_body_ended(attempt, complete);
            }
        }
    }

    fn request_received(&mut self, request: NewRequest) {
        let NewRequest { arrival, forward, reply } = request;
        debug!(
            request = arrival.id.0,
            call = forward.call_id(),
            class = arrival.class.0,
            customer = arrival.customer.0,
            "request received"
        );
        let rollout = self.rollout_request(&arrival);
        let request = OpenRequest::new(forward, reply, arrival.prior_attempts.len(), rollout);
        self.requests.insert(arrival.id, request);
        self.pending_events.push(Event::RequestArrived(arrival));
    }

    fn client_disconnected(&mut self, request: RequestId) {
        if self.requests.take_reply(request).is_some() {
            debug!(request = request.0, "client disconnected");
            self.pending_events.push(Event::ClientDisconnected { request });
        }
    }
}

/// The request that may be forgotten once the decision module has handled this event.
fn request_that_may_be_finished(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected { request } => Some(*request),
        Event::AttemptEnded(end) => Some(end.request),
        _ => None,
    }
}

/// Closes connections to backends that were idle for too long, for ever.
async fn close_idle_connections(pool: Rc<ConnectionPool>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        pool.retire();
    }
}

#[cfg(test)]
mod tests;
