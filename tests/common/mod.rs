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

/// Classes: 0 safe, 1 keyed by cell, 2 unsafe, 3 keyed by all. Plans: 0 ten units a second and twenty at
/// once, 1 the same under a ceiling twice as high, 2 two attempts out at once, 3 no quota.
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

pub struct Rig {
    pub gateway: Gateway,
    pub now: u64,
    pub done: Vec<Action>,
    pub next: u64,
    timers: Vec<(u64, TimerId)>,
}

impl Rig {
    pub fn new(settings: Settings, servers: u32) -> Rig {
        Rig::seeded(7, settings, servers)
    }
    pub fn seeded(seed: u64, settings: Settings, servers: u32) -> Rig {
        let gateway = Gateway::new(seed, settings).expect("sound settings");
        let mut rig = Rig { gateway, now: 1_000 * S, done: Vec::new(), next: 1, timers: Vec::new() };
        let entries = (0..servers).map(|i| entry(i, EndpointStatus::InService, None)).collect();
        rig.tell(Event::EndpointsChanged { scope: WatchScope::Complete, endpoints: entries });
        rig
    }
    /// Tells one event and returns what it led to.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer { timer: id, after } = action {
                self.timers.push((self.now + after.0, *id));
            }
        }
        self.done.extend(out.iter().cloned());
        out
    }
    /// Lets time pass, ringing timers as they come due, and returns what they led to.
    pub fn pass(&mut self, span: u64) -> Vec<Action> {
        let (end, mut led) = (self.now + span, Vec::new());
        while let Some(&(at, id)) = self.timers.iter().filter(|t| t.0 <= end).min_by_key(|t| t.0) {
            self.timers.retain(|t| t.1 != id);
            self.now = self.now.max(at);
            led.extend(self.tell(Event::TimerFired { timer: id }));
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
        let id = RequestId(self.next);
        self.next += 1;
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
        (id, self.tell(Event::RequestArrived(arrival)))
    }
    /// A request without quota, sent on at once; returns where it went.
    pub fn sent(&mut self, class: usize) -> (RequestId, EndpointId) {
        let (id, out) = self.request(class, 3, 1, 1.0);
        (id, sends(&out).first().expect("it is sent on").1)
    }
    pub fn ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let (took, ended) = (Micros(50 * MS), outcome == Outcome::Success);
        let report = LoadReport::default();
        let end = AttemptEnded {
            request: id,
            attempt,
            endpoint: server,
            outcome,
            elapsed: took,
            request_finished: ended,
            settled_units: None,
            load: report,
        };
        self.tell(Event::AttemptEnded(end))
    }
}

pub fn entry(i: u32, listed: EndpointStatus, started: Option<u64>) -> EndpointUpdate {
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

pub fn counts(out: &[Action]) -> Vec<(CounterKey, f64)> {
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
/// The count calls that add or take off.
pub fn adds(out: &[Action]) -> Vec<(CounterKey, f64)> {
    counts(out).into_iter().filter(|(_, x)| *x != 0.0).collect()
}
pub fn sends(out: &[Action]) -> Vec<(RequestId, EndpointId)> {
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
pub fn refused(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { request: r, .. } if *r == id))
}
pub fn failed(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { request: r, .. } if *r == id))
}
