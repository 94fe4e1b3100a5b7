//! Owner of the decision module: passes events and expired timers to it, and carries out the actions that it returns.
//! The runtime only translates; every decision is made by the decision module. The request table ensures that each
//! request gets exactly one final response.

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
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::debug;

/// Capacity of the event queue; a sender waits while the queue is full.
const MAX_QUEUED_EVENTS: usize = 1024;
/// Capacity of the command queue.
const MAX_QUEUED_COMMANDS: usize = 16;
/// How often idle connections to backends are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a gateway that has a last known endpoint list waits for discovery before it becomes ready with that list.
const DISCOVERY_WAIT: Duration = Duration::from_secs(1);
/// Lower bound on the tick interval: calling the decision module without a pause would only waste CPU time.
const MIN_TICK: Duration = Duration::from_millis(1);

/// Components that the runtime shares with the rest of the process.
#[derive(Clone)]
pub struct SharedParts {
    /// Clock of the decision module.
    pub clock: Clock,
    /// Whether the process serves, drains or shuts down.
    pub lifecycle: Rc<Lifecycle>,
    /// Counters for operators.
    pub metrics: Rc<Metrics>,
    /// Memory budget for buffers.
    pub memory: Rc<MemoryBudget>,
    /// Records the outcomes of requests and attempts.
    pub outcomes: Rc<OutcomeRecorder>,
}

/// Event loop that owns the decision module.
pub struct Runtime {
    gateway: Gateway,
    site: Site,
    clock: Clock,
    /// Minimum time between two ticks.
    tick_interval: Duration,
    sender: RuntimeSender,
    events: mpsc::Receiver<RuntimeEvent>,
    commands: mpsc::Receiver<AdminCommand>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryBudget>,
    counter: Option<Rc<CounterClient>>,
    counter_replies: ReplyOrder,
    backends: HashMap<EndpointId, Rc<Backend>>,
    /// The endpoint list as last received from discovery.
    discovered_endpoints: HashMap<EndpointId, DiscoveredEndpoint>,
    endpoint_starts: HashMap<EndpointId, EndpointStart>,
    list_revision: u64,
    /// Sends messages to the other process of this gateway, while there is one.
    other_process: Option<mpsc::Sender<HandoverMessage>>,
    /// Operators' orders, by endpoint, that were given before this process took over from another, which has not confirmed
    /// them.
    early_maintenance: BTreeMap<String, bool>,
    requests: RequestTable,
    timers: Timers,
    /// Events that are passed to the decision module at the next tick.
    pending_events: Vec<Event>,
    /// Buffer reused by each tick to avoid an allocation.
    actions: Vec<Action>,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// When the gateway becomes ready with the last known endpoint list, even if discovery has not answered.
    ready_at: Option<Instant>,
    rollout: Option<ActiveRollout>,
    outcomes: Rc<OutcomeRecorder>,
}

impl Runtime {
    /// Creates a runtime from the configuration, and the sender for commands to it.
    ///
    /// # Errors
    /// Returns an error if the settings contradict each other.
    pub fn new(config: Config, shared: SharedParts) -> Result<(Runtime, AdminSender), ConfigError> {
        let SharedParts { clock, lifecycle, metrics, memory, outcomes } = shared;
        let Config { site, counter, sockets, seed, known_endpoints, backend_idle_timeout, cluster, .. } =
            config;
        let settings = &site.settings;
        let mut gateway = Gateway::new(seed, settings.clone()).map_err(ConfigError::from)?;
        gateway.limit_customers(memory.customers());
        let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let (admin_sender, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let counter_timeout = duration(settings.counter_timeout);
        let counter = counter.map(|address| CounterClient::new(address, counter_timeout, sockets.counter));
        let pool = ConnectionPool::new(
            memory.sockets().backends,
            duration(settings.connect_timeout),
            backend_idle_timeout,
            metrics.clone(),
            memory.clone(),
        );
        let mut runtime = Runtime {
            gateway,
            clock,
            tick_interval: duration(settings.tick).max(MIN_TICK),
            site,
            sender,
            events,
            commands,
            pool: Rc::new(pool),
            memory,
            counter: counter.map(Rc::new),
            counter_replies: ReplyOrder::default(),
            backends: HashMap::new(),
            discovered_endpoints: HashMap::new(),
            endpoint_starts: HashMap::new(),
            list_revision: 0,
            other_process: None,
            early_maintenance: BTreeMap::new(),
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
        runtime.start_quota_lease(cluster.map_or(0.0, |cluster| cluster.leasable_fraction));
        runtime.start_from_last_known_list(known_endpoints);
        Ok((runtime, admin_sender))
    }

    /// Until the cluster reports otherwise, the leasable part of this gateway's quota share may be leased to others,
    /// so the decision module starts without it.
    fn start_quota_lease(&mut self, leasable_fraction: f64) {
        if leasable_fraction > 0.0 {
            let lease = QuotaLease { fraction: leasable_fraction, ..QuotaLease::default() };
            self.pending_events.push(Event::QuotaLeaseChanged(lease));
        }
    }

    /// Starts with the last known endpoint list, which may be stale but is the only one until discovery answers.
    /// Readiness is delayed by [`DISCOVERY_WAIT`] to give discovery a chance to answer first.
    fn start_from_last_known_list(&mut self, last_known: EndpointList) {
        if !last_known.endpoints.is_empty() {
            self.apply_endpoint_list(EndpointList { complete: true, ..last_known });
            self.ready_at = Some(Instant::now() + DISCOVERY_WAIT);
        }
    }

    /// Returns a sender of events to this runtime.
    pub fn sender(&self) -> RuntimeSender {
        self.sender.clone()
    }

    /// Runs until the task is dropped. As in the simulator, events reach the decision module at most once per tick.
    pub async fn run(mut self) {
        tokio::task::spawn_local(close_idle_connections(self.pool.clone()));
        let mut last_tick_at = Instant::now();
        loop {
            let next_tick_at = self.next_tick_at(last_tick_at);
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => self.run_command(command),
                () = sleep_until(next_tick_at.unwrap_or_else(Instant::now)), if next_tick_at.is_some() => {
                    last_tick_at = Instant::now();
                    self.run_tick();
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

    /// Returns when the next tick is due: one tick interval after the last tick if an event is pending, otherwise
    /// when the next timer fires, but no sooner.
    fn next_tick_at(&self, last_tick_at: Instant) -> Option<Instant> {
        let earliest = last_tick_at + self.tick_interval;
        if !self.pending_events.is_empty() {
            return Some(earliest);
        }
        let timer_at: Micros = self.timers.next_at()?;
        Some(self.clock.instant_at(timer_at).max(earliest))
    }

    /// Passes all pending events to the decision module and carries out the actions that it returns.
    fn run_tick(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_fired(now) {
            self.pending_events.push(Event::TimerFired { timer });
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.pending_events) {
            let ended_request = possibly_finished_request(&event);
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(now, action);
            }
            // The request is removed only after the decision module has handled the event: until then it may send
            // attempts for this request, and the end of each must be reported, or the capacity that the attempt takes
            // at an endpoint is never released.
            if let Some(request) = ended_request {
                self.requests.remove_if_finished(request);
            }
        }
        self.actions = actions;
    }

    /// Translates a runtime event to events of the decision module.
    fn handle_event(&mut self, event: RuntimeEvent) {
        match event {
            RuntimeEvent::RequestReceived(request) => self.request_received(*request),
            RuntimeEvent::DeadlineChanged { request, deadline } => {
                self.pending_events.push(Event::DeadlineChanged { request, deadline });
            }
            RuntimeEvent::RequestBodyEnded { request, deadline } => {
                self.pending_events.push(Event::RequestBodyEnded { request, deadline });
            }
            RuntimeEvent::ClientDisconnected(request) => self.client_disconnected(request),
            RuntimeEvent::EndpointsChanged(list) => {
                self.apply_endpoint_list(list);
                self.become_ready();
            }
            RuntimeEvent::CounterAddressChanged(address) => {
                // Calls in flight are completed by the old client, at the old address.
                self.counter = self.counter.take().map(|counter| Rc::new(counter.with_address(address)));
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
        let rollout = self.rollout_assignment(&arrival);
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

/// Returns the request that may be finished once the decision module has handled this event.
fn possibly_finished_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected { request } => Some(*request),
        Event::AttemptEnded(end) => Some(end.request),
        _ => None,
    }
}

/// Periodically closes connections to backends that were idle for too long.
async fn close_idle_connections(pool: Rc<ConnectionPool>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        pool.close_expired();
    }
}

#[cfg(test)]
mod tests;
