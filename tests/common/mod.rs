//! A test harness that drives a gateway through the interface of the decision module, and default settings.
#![allow(dead_code)]

use quota_gateway::decision::Gateway;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, ClassId, CounterKey, CustomerId, DeduplicationScope,
    EndpointId, EndpointStatus, EndpointUpdate, Event, Idempotency, LabelId, LoadReport, Micros, Outcome,
    Plan, PlanId, RequestId, Settings, TimerId, WatchScope, ZoneId,
};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn class(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> Class {
    Class {
        latency_objective: Micros(800 * MS),
        deadline: Micros(3 * S),
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
        deduplication_scope,
        deduplication_window: Micros(S),
        streaming: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        concurrency_quota: 0.0,
        weight_factor: 1.0,
        overage_weight_fraction: 0.0,
        overage_cost_fraction: 1.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_overdraft: 0.0,
    }
}

/// Classes: 0 idempotent; 1 idempotent with a key, scope cell; 2 not idempotent; 3 idempotent with a key, scope all.
/// Plans: 0 ten units a second with a burst of twenty; 1 the same with a hard limit twice as high; 2 at most two
/// attempts in flight; 3 no quota.
pub fn settings() -> Settings {
    let hard_limit =
        Plan { hard_limit_rate: 20.0, hard_limit_burst: 40.0, hard_limit_overdraft: 4.0, ..plan(10.0, 20.0) };
    Settings {
        gateways: 2,
        classes: vec![
            class(Idempotency::Idempotent, DeduplicationScope::All),
            class(Idempotency::WithKey, DeduplicationScope::Cell),
            class(Idempotency::NotIdempotent, DeduplicationScope::All),
            class(Idempotency::WithKey, DeduplicationScope::All),
        ],
        plans: vec![
            plan(10.0, 20.0),
            hard_limit,
            Plan { concurrency_quota: 2.0, ..plan(0.0, 0.0) },
            plan(0.0, 0.0),
        ],
        max_attempts: 4,
        may_cancel: true,
        retry_after: true,
        max_retry_after: Micros(2 * S),
        counter_enabled: true,
        counter_timeout: Micros(80 * MS),
        max_request_units: 4.0,
        answer_slack: Micros(8 * MS),
        slow_start_min_capacity: 0.2,
        slow_start_window: Micros(10 * S),
        overload_multiple: 2.0,
        overload_after: Micros(S),
        tick: Micros(2 * MS),
        ..Settings::default()
    }
}

pub struct GatewayHarness {
    pub gateway: Gateway,
    pub now: u64,
    pub all_actions: Vec<Action>,
    pub next_request: u64,
    timers: Vec<(u64, TimerId)>,
}

impl GatewayHarness {
    pub fn new(settings: Settings, endpoints: u32) -> GatewayHarness {
        GatewayHarness::seeded(7, settings, endpoints)
    }
    pub fn seeded(seed: u64, settings: Settings, endpoints: u32) -> GatewayHarness {
        let gateway = Gateway::new(seed, settings).expect("valid settings");
        let mut harness = GatewayHarness {
            gateway,
            now: 1_000 * S,
            all_actions: Vec::new(),
            next_request: 1,
            timers: Vec::new(),
        };
        let entries =
            (0..endpoints).map(|number| endpoint_update(number, EndpointStatus::InService, None)).collect();
        harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: entries });
        harness
    }
    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { timer, after } = action {
                self.timers.push((self.now + after.0, *timer));
            }
        }
        self.all_actions.extend(actions.iter().cloned());
        actions
    }
    /// Advances the clock, fires the timers that come due, and returns the resulting actions.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while let Some(&(due, timer)) =
            self.timers.iter().filter(|timer| timer.0 <= end).min_by_key(|timer| timer.0)
        {
            self.timers.retain(|entry| entry.1 != timer);
            self.now = self.now.max(due);
            actions.extend(self.handle(Event::TimerFired { timer }));
        }
        self.now = end;
        actions
    }
    pub fn request(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let deadline = Micros(self.now + 3 * S);
        let (class, plan, customer) = (ClassId(class), PlanId(plan), CustomerId(customer));
        let arrival = Arrival {
            id,
            class,
            plan,
            customer,
            gateway_count: 2,
            first_gateway: 0,
            deadline,
            units,
            is_retry: false,
            streaming_body: false,
            ..Arrival::default()
        };
        (id, self.handle(Event::RequestArrived(arrival)))
    }
    /// Sends a request of a plan without quota and returns the endpoint that it was forwarded to.
    pub fn send_without_quota(&mut self, class: usize) -> (RequestId, EndpointId) {
        let (id, actions) = self.request(class, 3, 1, 1.0);
        (id, sent_attempts(&actions).first().expect("the request is forwarded").1)
    }
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let (elapsed, request_finished) = (Micros(50 * MS), outcome == Outcome::Success);
        let load = LoadReport::default();
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed,
            request_finished,
            settled_units: None,
            load,
        };
        self.handle(Event::AttemptEnded(end))
    }
}

pub fn endpoint_update(number: u32, status: EndpointStatus, started_at: Option<u64>) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(u64::from(number)),
        zone: ZoneId(0),
        cell: CellId(u64::from(number) / 2),
        status,
        weight: 1.0,
        started_at: started_at.map(Micros),
        label: LabelId::default(),
    }
}

pub fn counter_calls(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::IncrementCounter { key, amount, .. } = action {
                Some((*key, *amount))
            } else {
                None
            }
        })
        .collect()
}
/// Counter calls with an amount other than zero.
pub fn nonzero_counter_calls(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    counter_calls(actions).into_iter().filter(|(_, amount)| *amount != 0.0).collect()
}
pub fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::SendAttempt { request, endpoint, .. } = action {
                Some((*request, *endpoint))
            } else {
                None
            }
        })
        .collect()
}
pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if *request == id))
}
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { request, .. } if *request == id))
}
