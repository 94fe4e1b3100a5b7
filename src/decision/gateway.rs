//! The decisions of one gateway: dispatches each event to the rules that apply and collects their actions.

mod arrival;
mod attempts;
mod counter;
mod deadline;
mod endpoints;
mod finish;
mod handover;
mod queue;
mod request_queue;
mod timers;

use super::action::Action;
use super::admission::{CounterCalls, Customer, LeaseView, LoadShedding, CUSTOMER_IDLE_TIMEOUT};
use super::context::{Context, ProcessRole};
use super::endpoint::EndpointCounts;
use super::event::Event;
use super::ids::{CustomerId, EndpointId, RequestId, TimerId};
use super::load_balancing::LoadBalancer;
use super::request::Request;
use super::retry::RetryBudget;
use super::routing_rules::RoutingRules;
use super::settings::{Settings, SettingsError};
use super::time::Micros;
use request_queue::RequestQueue;
use std::collections::BTreeMap;
use timers::{Timer, Timers};

/// Number of customers whose state is kept unless another limit is set.
const DEFAULT_MAX_CUSTOMERS: usize = 30_000;

/// Decision state of one gateway. It learns of other gateways only through its events, such as totals of the
/// counter service and quota leases.
pub struct Gateway {
    context: Context,
    rng: fastrand::Rng,
    /// Time at which this process began to admit requests.
    admitting_since: Option<Micros>,
    /// Actions that have not been returned to the caller yet.
    actions: Vec<Action>,
    timers: Timers,
    requests: BTreeMap<RequestId, Request>,
    queue: RequestQueue,
    customers: BTreeMap<CustomerId, Customer>,
    /// Number of customers from which on the longest unused are dropped.
    max_customers: usize,
    counter: CounterCalls,
    lease: LeaseView,
    shedding: LoadShedding,
    balancer: LoadBalancer,
    retry_budget: RetryBudget,
    routing: RoutingRules,
}

impl Gateway {
    /// Creates a gateway with nothing but its settings. The same seed and events lead to the same decisions.
    ///
    /// # Errors
    /// The settings are invalid; see [`Settings::check`].
    pub fn new(seed: u64, settings: Settings) -> Result<Gateway, SettingsError> {
        settings.check()?;
        let mut gateway = Gateway {
            context: Context { settings, now: Micros(0), role: ProcessRole::Single },
            rng: fastrand::Rng::with_seed(seed),
            admitting_since: None,
            actions: Vec::new(),
            timers: Timers::default(),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            customers: BTreeMap::new(),
            max_customers: DEFAULT_MAX_CUSTOMERS,
            counter: CounterCalls::default(),
            lease: LeaseView::default(),
            shedding: LoadShedding::default(),
            balancer: LoadBalancer::default(),
            retry_budget: RetryBudget::default(),
            routing: RoutingRules::default(),
        };
        // These actions are returned with the first event, whichever it is.
        gateway.set_timer(Timer::EvictIdleCustomers, CUSTOMER_IDLE_TIMEOUT);
        gateway.subscribe_if_required();
        Ok(gateway)
    }

    /// Sets the number of customers whose state is kept.
    pub fn limit_customers(&mut self, max_customers: usize) {
        self.max_customers = max_customers.max(1);
    }

    /// Number of customers whose state is kept at present.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Handles one event and appends the resulting actions. If `now` is earlier than at the previous event, the
    /// previous time is used.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.context.now = self.context.now.max(now);
        self.admitting_since = self.admitting_since.or(Some(self.context.now));
        match event {
            Event::EndpointsChanged { scope, endpoints } => self.on_endpoints(scope, endpoints),
            Event::RequestArrived(arrival) => self.on_request(arrival),
            Event::TimerFired { timer } => self.on_timer(timer),
            Event::StreamStarted { request } => self.on_stream_started(request),
            Event::ResponseStarted { request, attempt, elapsed } => {
                self.on_response_started(request, attempt, elapsed);
            }
            Event::DeadlineChanged { request, deadline } => self.on_deadline_changed(request, deadline),
            Event::RequestBodyEnded { request, deadline } => self.on_body_ended(request, deadline),
            Event::ClientDisconnected { request } => self.finish(request, None),
            Event::CounterReplied { key, outcome, total } => self.on_counter_replied(key, outcome, total),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end),
            Event::MaintenanceChanged { endpoint, in_maintenance } => {
                self.on_maintenance(endpoint, in_maintenance);
            }
            Event::PeerProcessExited => self.on_peer_process_exited(),
            Event::QuotaLeaseChanged(lease) => self.lease.replace(lease, self.context.now),
            Event::RoutingChanged(rules) => self.routing = rules,
        }
        actions.append(&mut self.actions);
    }

    /// Number of listed endpoints, and how many of them are excluded.
    pub fn endpoint_counts(&self, now: Micros) -> EndpointCounts {
        self.balancer.counts(now)
    }

    /// Whether an operator has taken this endpoint out of service.
    pub fn is_in_maintenance(&self, endpoint: EndpointId) -> bool {
        self.balancer.endpoints.get(&endpoint).is_some_and(|endpoint| endpoint.in_maintenance)
    }

    fn set_timer(&mut self, timer: Timer, after: Micros) -> TimerId {
        let timer = self.timers.set(timer);
        self.actions.push(Action::SetTimer { timer, after });
        timer
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.timers.fired(id) {
            Some(Timer::Deadline(request)) => self.on_deadline(request),
            Some(Timer::ServeQueue) => {
                self.queue.is_timer_set = false;
                self.serve_queue();
            }
            Some(Timer::Resubscribe) => self.subscribe_if_required(),
            Some(Timer::EvictIdleCustomers) => {
                let now = self.context.now;
                self.customers.retain(|_, customer| !customer.is_idle(now));
                self.set_timer(Timer::EvictIdleCustomers, CUSTOMER_IDLE_TIMEOUT);
            }
            None => {}
        }
    }

    fn subscribe_if_required(&mut self) {
        if self.context.settings.must_subscribe {
            self.actions.push(Action::Subscribe);
        }
    }
}
