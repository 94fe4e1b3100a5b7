//! The model played against the decision module's own interface, which carries more than the simulator's
//! wire: hand-overs between two processes, request bodies, maintenance, quota leases, routing rules, attempts
//! that other gateways made.

use crate::model::site::{CLASSES, MS, PLANS, TICK};
use crate::model::terms::{AttemptLine, EndpointLine, How, LoadLine, Response, Scope, Status, Stimulus};
use crate::model::{Model, Scenario};
use quota_gateway::decision::{
    has_canary_rules, Action, Arrival, AttemptEnded, CellId, Class, ClassId, CounterKey, CustomerId,
    DeduplicationScope, EndpointId, EndpointStatus, EndpointUpdate, Event, Gateway, Idempotency, LabelId,
    LoadReport, Micros, Outcome, Plan, PlanId, PriorAttempt, QuotaLease, RejectionReason, RequestId,
    RouteRule, RoutingRules, Settings, TimerId, WatchScope, ZoneId,
};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Plays a scenario; every event and what the gateway did is one line of the trace.
pub fn record(scenario: Scenario) -> String {
    let mut trace = String::new();
    let mut gateways: BTreeMap<u32, Gateway> = BTreeMap::new();
    let mut model = Model::new(scenario);
    let mut steps = 0_u64;
    while let Some((now, told)) = model.step() {
        let _ = writeln!(trace, "now {now}");
        for (number, stimulus) in told {
            let _ = writeln!(trace, "{number} < {}", words_of(&stimulus));
            let responses = tell(&mut gateways, &mut trace, &model.scenario, now, number, stimulus);
            for response in responses {
                model.react(number, response);
            }
        }
        steps += 1;
        if steps.is_multiple_of(50) {
            write_views(&mut trace, &gateways, now);
        }
    }
    write_views(&mut trace, &gateways, u64::MAX);
    trace
}

fn tell(
    gateways: &mut BTreeMap<u32, Gateway>,
    trace: &mut String,
    scenario: &Scenario,
    now: u64,
    number: u32,
    stimulus: Stimulus,
) -> Vec<Response> {
    match stimulus {
        Stimulus::Start => {
            gateways.insert(number, start(scenario, number));
            return Vec::new();
        }
        Stimulus::Stop => {
            gateways.remove(&number);
            return Vec::new();
        }
        Stimulus::HandOver { to } => {
            let state = gateways.get_mut(&number).map(Gateway::hand_over).expect("it runs");
            let state = serde_json::to_string(&state).expect("it has a text");
            let _ = writeln!(trace, "{number} state {state}");
            let read = serde_json::from_str(&state).expect("it reads its own text");
            gateways.get_mut(&to).expect("it runs").take_over(read);
            return Vec::new();
        }
        // Only the simulator's wire carries it.
        Stimulus::Pong { .. } => return Vec::new(),
        _ => {}
    }
    let Some(gateway) = gateways.get_mut(&number) else { return Vec::new() };
    let mut actions = Vec::new();
    gateway.handle(Micros(now), event_of(stimulus), &mut actions);
    for action in &actions {
        let _ = writeln!(trace, "{number} > {}", words_of_action(action));
    }
    actions.iter().map(response_of).collect()
}

fn start(scenario: &Scenario, number: u32) -> Gateway {
    let classes = CLASSES.iter().map(|c| Class {
        latency_objective: Micros(c.on_time),
        deadline: Micros(c.deadline),
        priority_weight: c.credit,
        late_weight_fraction: c.late_share,
        idempotency: match c.effect {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::WithKey,
            _ => Idempotency::NotIdempotent,
        },
        deduplication_scope: match c.key_scope {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: Micros(c.window),
        streaming: c.streaming,
    });
    let plans = PLANS.iter().map(|p| Plan {
        rate: p.per_second,
        burst: p.peak_units,
        concurrency_quota: p.open,
        weight_factor: p.price,
        overage_weight_fraction: p.extra_worth,
        overage_cost_fraction: p.excess_cost,
        ceiling_rate: p.ceiling_rate,
        ceiling_burst: p.cap_depth,
        ceiling_overdraft: p.tolerance,
    });
    // Two processes of one gateway have one number.
    let settings = Settings {
        gateways: scenario.gateways,
        gateway_number: number % 100,
        zone: ZoneId(number % 3),
        classes: classes.collect(),
        plans: plans.collect(),
        max_attempts: 4,
        hedging: scenario.second_copies,
        may_cancel: scenario.may_cancel,
        health_checks: true,
        retry_after: scenario.retry_after,
        max_retry_after: Micros(2_000 * MS),
        counter_enabled: scenario.counter,
        counter_timeout: Micros(80 * MS),
        max_request_units: 4.0,
        must_subscribe: scenario.must_subscribe,
        connect_timeout: Micros(500 * MS),
        answer_slack: Micros(8 * MS),
        slow_start_min_capacity: 0.2,
        slow_start_window: Micros(6_000 * MS),
        overload_multiple: 1.8,
        overload_after: Micros(1_000 * MS),
        tick: Micros(TICK),
    };
    Gateway::new(scenario.seed * 1_000 + u64::from(number), settings).expect("sound settings")
}

fn event_of(stimulus: Stimulus) -> Event {
    match stimulus {
        Stimulus::Endpoints { scope, endpoints } => {
            let scope = match scope {
                Scope::Incremental => WatchScope::Incremental,
                Scope::Complete => WatchScope::Complete,
                Scope::Failed => WatchScope::Failed,
            };
            Event::EndpointsChanged { scope, endpoints: endpoints.iter().map(entry_of).collect() }
        }
        Stimulus::Arrival(a) => {
            let prior = |&(endpoint, sent): &(u64, u64)| PriorAttempt {
                endpoint: EndpointId(endpoint),
                sent_at: Micros(sent),
            };
            Event::RequestArrived(Arrival {
                id: RequestId(a.request),
                class: ClassId(a.class),
                plan: PlanId(a.plan),
                customer: CustomerId(a.customer),
                spread: a.spread,
                first_gateway: a.first,
                deadline: Micros(a.deadline),
                units: a.units,
                is_retry: a.resent,
                streaming_body: a.upload,
                prior_attempts: a.prior.iter().map(prior).collect(),
                already_counted: a.counted,
            })
        }
        Stimulus::Timer { timer } => Event::TimerFired { timer: TimerId(timer) },
        Stimulus::StreamStarted { request } => Event::StreamStarted { request: RequestId(request) },
        Stimulus::ResponseStarted { request, attempt, elapsed } => {
            Event::ResponseStarted { request: RequestId(request), attempt, elapsed: Micros(elapsed) }
        }
        Stimulus::RequestBodyEnded { request, deadline } => {
            Event::RequestBodyEnded { request: RequestId(request), deadline: Micros(deadline) }
        }
        Stimulus::ClientDisconnected { request } => Event::ClientDisconnected { request: RequestId(request) },
        Stimulus::CounterReplied { key, how, total } => {
            Event::CounterReplied { key: CounterKey(key), outcome: outcome_of(how), total }
        }
        Stimulus::AttemptEnded(end) => Event::AttemptEnded(attempt_of(&end)),
        Stimulus::Maintenance { endpoint, active } => {
            Event::MaintenanceChanged { endpoint: EndpointId(endpoint), in_maintenance: active }
        }
        Stimulus::PeerProcessExited => Event::PeerProcessExited,
        Stimulus::QuotaLease { fraction, until, absent } => Event::QuotaLeaseChanged(QuotaLease {
            fraction,
            valid_until: Micros(until),
            absent_gateways: absent,
        }),
        Stimulus::Routing { variant, share } => Event::RoutingChanged(routing_of(variant, share)),
        Stimulus::Start | Stimulus::Stop | Stimulus::HandOver { .. } | Stimulus::Pong { .. } => {
            unreachable!("no event of a gateway")
        }
    }
}

fn entry_of(line: &EndpointLine) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(line.endpoint),
        zone: ZoneId(line.zone),
        cell: CellId(line.cell),
        status: match line.status {
            Status::InService => EndpointStatus::InService,
            Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Removed,
        },
        weight: line.weight,
        started_at: Some(Micros(line.started)).filter(|s| s.0 > 0),
        label: LabelId(line.label),
    }
}

fn attempt_of(end: &AttemptLine) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(end.request),
        attempt: end.attempt,
        endpoint: EndpointId(end.endpoint),
        outcome: outcome_of(end.how),
        elapsed: Micros(end.elapsed),
        request_finished: end.final_answer,
        settled_units: Some(end.settled).filter(|s| *s > 0.0),
        load: report_of(&end.load),
    }
}

fn outcome_of(how: How) -> Outcome {
    match how {
        How::Success => Outcome::Success,
        How::ServerError => Outcome::ServerError,
        How::Rejected => Outcome::Rejected,
        How::Timeout => Outcome::Timeout,
        How::ConnectFailed => Outcome::ConnectFailed,
        How::ConnectionReset => Outcome::ConnectionReset,
        How::Cancelled => Outcome::Cancelled,
        How::NotSent => Outcome::NotSent,
    }
}

fn report_of(load: &LoadLine) -> LoadReport {
    LoadReport { in_flight: load.in_flight, queued: load.queued, busy_fraction: load.busy }
}

/// Rules of routing: none, by zone and label, or with bounds on attempts, time and cold endpoints.
fn routing_of(variant: usize, share: u16) -> RoutingRules {
    let by_zone = Rc::new(RouteRule {
        class: Some(ClassId(0)),
        zone_weights: vec![(ZoneId(0), 0.5), (ZoneId(2), 3.0)],
        label_weights: vec![(LabelId(1), 0.25)],
        ..RouteRule::default()
    });
    let bounded = Rc::new(RouteRule {
        plan: Some(PlanId(3)),
        max_attempts: Some(2),
        give_up_fraction: Some(0.4),
        slow_start_fraction: Some(0.5),
        ..RouteRule::default()
    });
    let rest =
        Rc::new(RouteRule { max_attempts: Some(9), slow_start_fraction: Some(0.25), ..RouteRule::default() });
    let (old, new) = match variant {
        0 => (Vec::new(), Vec::new()),
        1 => (vec![by_zone.clone()], vec![bounded, rest]),
        _ => (vec![bounded, by_zone], vec![rest]),
    };
    RoutingRules { baseline: old, canary: new, canary_share: share, salt: 17 }
}

fn response_of(action: &Action) -> Response {
    match action {
        Action::SendAttempt { request, endpoint, give_up_at: until } => {
            Response::Send { request: request.0, endpoint: endpoint.0, give_up_at: until.0 }
        }
        Action::Reject { request, retry_after: wait, .. } => {
            Response::Reject { request: request.0, retry_after: wait.map(|w| w.0) }
        }
        Action::Fail { request, .. } => Response::Fail { request: request.0 },
        Action::CancelAttempt { request, attempt } => {
            Response::Cancel { request: request.0, attempt: *attempt }
        }
        Action::IncrementCounter { key: name, amount, .. } => {
            Response::Count { key: name.0, amount: *amount }
        }
        Action::SetTimer { timer, after } => Response::SetTimer { timer: timer.0, after: after.0 },
        Action::Subscribe => Response::Subscribe,
    }
}

/// The words of an action in the trace, with all that it holds.
fn words_of_action(action: &Action) -> String {
    match action {
        Action::SendAttempt { request, endpoint, give_up_at: until } => {
            format!("send {} to {} until {}", request.0, endpoint.0, until.0)
        }
        Action::Reject { request, retry_after: wait, reason } => {
            format!("reject {} after {:?} for {}", request.0, wait.map(|w| w.0), key_of(*reason))
        }
        Action::Fail { request, reason } => format!("fail {} for {}", request.0, key_of(*reason)),
        Action::CancelAttempt { request, attempt } => format!("cancel {} {attempt}", request.0),
        Action::IncrementCounter { key: name, amount, lifetime: life } => {
            format!("count {} {amount} for {}", name.0, life.0)
        }
        Action::SetTimer { timer, after } => format!("timer {} after {}", timer.0, after.0),
        Action::Subscribe => "subscribe".into(),
    }
}

/// The key of a reason in logs and figures.
fn key_of(reason: RejectionReason) -> &'static str {
    reason.into()
}

fn words_of(stimulus: &Stimulus) -> String {
    match stimulus {
        Stimulus::Endpoints { scope, endpoints } => format!("list {scope:?} of {}", endpoints.len()),
        Stimulus::AttemptEnded(end) => {
            let (AttemptLine { request, attempt, endpoint, how, .. }, last) = (end, end.final_answer);
            format!("attempt {request} {attempt} at {endpoint} {how:?} after {} last {last}", end.elapsed)
        }
        Stimulus::Arrival(a) => {
            let marks = [a.resent, a.upload, a.counted].map(u8::from);
            format!(
                "request {} class {} plan {} customer {} units {} marks {marks:?} prior {:?}",
                a.request, a.class, a.plan, a.customer, a.units, a.prior
            )
        }
        other => format!("{other:?}"),
    }
}

/// What a gateway says of itself: endpoints known and avoided, those in maintenance, who has new rules.
fn write_views(trace: &mut String, gateways: &BTreeMap<u32, Gateway>, now: u64) {
    for (number, gateway) in gateways {
        let counts = gateway.endpoint_counts(Micros(now));
        let (known, avoided) = (counts.known, counts.excluded);
        let maintained: Vec<u64> = (0..40).filter(|e| gateway.is_in_maintenance(EndpointId(*e))).collect();
        let _ = writeln!(trace, "{number} knows {known} avoids {avoided} maintains {maintained:?}");
    }
    let canary = |c: &u64| has_canary_rules(&routing_of(1, 5_000), CustomerId(*c));
    let _ = writeln!(trace, "new rules {:?}", (0..12).filter(canary).collect::<Vec<u64>>());
}
