//! A gateway under test, driven through the interface, and a counter that answers on demand.
#![allow(dead_code)]

use quota_gateway::decision::Gateway;
use quota_gateway::decision::{
    Action, Arrival, AttemptEnded, CellId, Class, ClassId, CounterKey, CustomerId, DeduplicationScope,
    EndpointId, EndpointStatus, EndpointUpdate, Event, Idempotency, LabelId, LoadReport, Micros, Outcome,
    Plan, PlanId, RequestId, Settings, TimerId, WatchScope, ZoneId,
};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn class(effect: Idempotency, group: DeduplicationScope) -> Class {
    Class {
        latency_objective: Micros(800 * MS),
        deadline: Micros(3 * S),
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: effect,
        deduplication_scope: group,
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
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_overdraft: 0.0,
    }
}

/// Classes: 0 idempotent, 1 with a key for its cell, 2 not idempotent, 3 with a key for all. Plans: 0 ten units a second and twenty at
/// once, 1 the same under a ceiling twice as high, 2 two attempts in flight at once, 3 no quota.
pub fn settings() -> Settings {
    let ceiling =
        Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ceiling_overdraft: 4.0, ..plan(10.0, 20.0) };
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
            ceiling,
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
        let gateway = Gateway::new(seed, settings).expect("sound settings");
        let mut harness = GatewayHarness {
            gateway,
            now: 1_000 * S,
            all_actions: Vec::new(),
            next_request: 1,
            timers: Vec::new(),
        };
        let entries = (0..endpoints).map(|i| endpoint_update(i, EndpointStatus::InService, None)).collect();
        harness.handle(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: entries });
        harness
    }
    /// Handles one event and returns what it led to.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer { timer: id, after } = action {
                self.timers.push((self.now + after.0, *id));
            }
        }
        self.all_actions.extend(out.iter().cloned());
        out
    }
    /// Lets time pass, firing timers as they come due, and returns what they led to.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        let (end, mut led) = (self.now + span, Vec::new());
        while let Some(&(at, id)) = self.timers.iter().filter(|t| t.0 <= end).min_by_key(|t| t.0) {
            self.timers.retain(|t| t.1 != id);
            self.now = self.now.max(at);
            led.extend(self.handle(Event::TimerFired { timer: id }));
        }
        self.now = end;
        led
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
            spread: 2,
            first_gateway: 0,
            deadline,
            units,
            is_retry: false,
            streaming_body: false,
            ..Arrival::default()
        };
        (id, self.handle(Event::RequestArrived(arrival)))
    }
    /// A request without quota, forwarded at once; returns where it went.
    pub fn send_without_quota(&mut self, class: usize) -> (RequestId, EndpointId) {
        let (id, out) = self.request(class, 3, 1, 1.0);
        (id, sent_attempts(&out).first().expect("it is forwarded").1)
    }
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: usize,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let (took, ended) = (Micros(50 * MS), outcome == Outcome::Success);
        let report = LoadReport::default();
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint,
            outcome,
            elapsed: took,
            request_finished: ended,
            settled_units: None,
            load: report,
        };
        self.handle(Event::AttemptEnded(end))
    }
}

pub fn endpoint_update(i: u32, listed: EndpointStatus, started: Option<u64>) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(u64::from(i)),
        zone: ZoneId(0),
        cell: CellId(u64::from(i) / 2),
        status: listed,
        weight: 1.0,
        started_at: started.map(Micros),
        label: LabelId::default(),
    }
}

pub fn counter_calls(out: &[Action]) -> Vec<(CounterKey, f64)> {
    out.iter()
        .filter_map(|a| {
            if let Action::IncrementCounter { key: n, amount: x, .. } = a {
                Some((*n, *x))
            } else {
                None
            }
        })
        .collect()
}
/// The counter calls whose amount is not zero.
pub fn nonzero_counter_calls(out: &[Action]) -> Vec<(CounterKey, f64)> {
    counter_calls(out).into_iter().filter(|(_, x)| *x != 0.0).collect()
}
pub fn sent_attempts(out: &[Action]) -> Vec<(RequestId, EndpointId)> {
    out.iter()
        .filter_map(|a| {
            if let Action::SendAttempt { request: r, endpoint: s, .. } = a {
                Some((*r, *s))
            } else {
                None
            }
        })
        .collect()
}
pub fn is_rejected(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
}
pub fn is_failed(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { request: r, .. } if *r == id))
}
