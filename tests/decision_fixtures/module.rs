//! Runs the model against the decision module's own interface. It supports more than the simulator's protocol:
//! hand-overs between two processes, request bodies, maintenance, quota leases, routing rules, and attempts that
//! other gateways made.

use crate::model::messages::{
    AttemptLine, CallOutcome, EndpointLine, GatewayAction, GatewayInput, ListScope, LoadLine, Status,
};
use crate::model::site::{CLASSES, MS, PLANS, TICK};
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

/// Runs a scenario and returns its trace: one line for each input and each action of a gateway.
pub fn record(scenario: Scenario) -> String {
    let mut trace = String::new();
    let mut gateways: BTreeMap<u32, Gateway> = BTreeMap::new();
    let mut model = Model::new(scenario);
    let mut steps = 0_u64;
    while let Some((now, inputs)) = model.step() {
        let _ = writeln!(trace, "now {now}");
        for (number, input) in inputs {
            let _ = writeln!(trace, "{number} < {}", describe_input(&input));
            let actions = deliver(&mut gateways, &mut trace, &model.scenario, now, number, input);
            for action in actions {
                model.carry_out(number, action);
            }
        }
        steps += 1;
        if steps.is_multiple_of(50) {
            write_gateway_states(&mut trace, &gateways, now);
        }
    }
    write_gateway_states(&mut trace, &gateways, u64::MAX);
    trace
}

fn deliver(
    gateways: &mut BTreeMap<u32, Gateway>,
    trace: &mut String,
    scenario: &Scenario,
    now: u64,
    number: u32,
    input: GatewayInput,
) -> Vec<GatewayAction> {
    match input {
        GatewayInput::Start => {
            gateways.insert(number, start(scenario, number));
            return Vec::new();
        }
        GatewayInput::Stop => {
            gateways.remove(&number);
            return Vec::new();
        }
        GatewayInput::HandOver { to } => {
            let state =
                gateways.get_mut(&number).map(Gateway::hand_over).expect("the predecessor is running");
            let state = serde_json::to_string(&state).expect("the hand-over state is serializable");
            let _ = writeln!(trace, "{number} state {state}");
            let read = serde_json::from_str(&state).expect("the serialized hand-over state is readable");
            gateways.get_mut(&to).expect("the successor is running").take_over(read);
            return Vec::new();
        }
        // Only the simulator's protocol has this input.
        GatewayInput::Pong { .. } => return Vec::new(),
        _ => {}
    }
    let Some(gateway) = gateways.get_mut(&number) else { return Vec::new() };
    let mut actions = Vec::new();
    gateway.handle(Micros(now), to_event(input), &mut actions);
    for action in &actions {
        let _ = writeln!(trace, "{number} > {}", describe_action(action));
    }
    actions.iter().map(to_gateway_action).collect()
}

fn start(scenario: &Scenario, number: u32) -> Gateway {
    let classes = CLASSES.iter().map(|class| Class {
        latency_objective: Micros(class.on_time),
        deadline: Micros(class.deadline),
        priority_weight: class.credit,
        late_weight_fraction: class.late_share,
        idempotency: match class.effect {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::WithKey,
            _ => Idempotency::NotIdempotent,
        },
        deduplication_scope: match class.key_scope {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: Micros(class.window),
        streaming: class.streaming,
    });
    let plans = PLANS.iter().map(|plan| Plan {
        rate: plan.per_second,
        burst: plan.peak_units,
        concurrency_quota: plan.open,
        weight_factor: plan.price,
        overage_weight_fraction: plan.extra_worth,
        overage_cost_fraction: plan.excess_cost,
        hard_limit_rate: plan.ceiling_rate,
        hard_limit_burst: plan.cap_depth,
        hard_limit_overdraft: plan.tolerance,
    });
    // The processes of one gateway share its number.
    let settings = Settings {
        gateways: scenario.gateways,
        gateway_number: number % 100,
        zone: ZoneId(number % 3),
        classes: classes.collect(),
        plans: plans.collect(),
        max_attempts: 4,
        hedging: scenario.hedging,
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
    Gateway::new(scenario.seed * 1_000 + u64::from(number), settings).expect("valid settings")
}

fn to_event(input: GatewayInput) -> Event {
    match input {
        GatewayInput::Endpoints { scope, endpoints } => {
            let scope = match scope {
                ListScope::Incremental => WatchScope::Incremental,
                ListScope::Complete => WatchScope::Complete,
                ListScope::Failed => WatchScope::Failed,
            };
            Event::EndpointsChanged { scope, endpoints: endpoints.iter().map(to_endpoint_update).collect() }
        }
        GatewayInput::Arrival(arrival) => {
            let prior = |&(endpoint, sent): &(u64, u64)| PriorAttempt {
                endpoint: EndpointId(endpoint),
                sent_at: Micros(sent),
            };
            Event::RequestArrived(Arrival {
                id: RequestId(arrival.request),
                class: ClassId(arrival.class),
                plan: PlanId(arrival.plan),
                customer: CustomerId(arrival.customer),
                gateway_count: arrival.gateway_count,
                first_gateway: arrival.first_gateway,
                deadline: Micros(arrival.deadline),
                units: arrival.units,
                is_retry: arrival.is_retry,
                streaming_body: arrival.upload,
                prior_attempts: arrival.prior_attempts.iter().map(prior).collect(),
                already_counted: arrival.already_counted,
            })
        }
        GatewayInput::Timer { timer } => Event::TimerFired { timer: TimerId(timer) },
        GatewayInput::StreamStarted { request } => Event::StreamStarted { request: RequestId(request) },
        GatewayInput::ResponseStarted { request, attempt, elapsed } => {
            Event::ResponseStarted { request: RequestId(request), attempt, elapsed: Micros(elapsed) }
        }
        GatewayInput::RequestBodyEnded { request, deadline } => {
            Event::RequestBodyEnded { request: RequestId(request), deadline: Micros(deadline) }
        }
        GatewayInput::ClientDisconnected { request } => {
            Event::ClientDisconnected { request: RequestId(request) }
        }
        GatewayInput::CounterReplied { key, how, total } => {
            Event::CounterReplied { key: CounterKey(key), outcome: to_outcome(how), total }
        }
        GatewayInput::AttemptEnded(end) => Event::AttemptEnded(to_attempt_ended(&end)),
        GatewayInput::Maintenance { endpoint, active } => {
            Event::MaintenanceChanged { endpoint: EndpointId(endpoint), in_maintenance: active }
        }
        GatewayInput::PeerProcessExited => Event::PeerProcessExited,
        GatewayInput::QuotaLease { fraction, until, absent } => Event::QuotaLeaseChanged(QuotaLease {
            fraction,
            valid_until: Micros(until),
            absent_gateways: absent,
        }),
        GatewayInput::Routing { variant, share } => Event::RoutingChanged(routing_rules(variant, share)),
        GatewayInput::Start
        | GatewayInput::Stop
        | GatewayInput::HandOver { .. }
        | GatewayInput::Pong { .. } => {
            unreachable!("this input is not an event of the decision module")
        }
    }
}

fn to_endpoint_update(line: &EndpointLine) -> EndpointUpdate {
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

fn to_attempt_ended(end: &AttemptLine) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(end.request),
        attempt: end.attempt,
        endpoint: EndpointId(end.endpoint),
        outcome: to_outcome(end.how),
        elapsed: Micros(end.elapsed),
        request_finished: end.final_answer,
        settled_units: Some(end.settled).filter(|s| *s > 0.0),
        load: to_load_report(&end.load),
    }
}

fn to_outcome(how: CallOutcome) -> Outcome {
    match how {
        CallOutcome::Success => Outcome::Success,
        CallOutcome::ServerError => Outcome::ServerError,
        CallOutcome::Rejected => Outcome::Rejected,
        CallOutcome::Timeout => Outcome::Timeout,
        CallOutcome::ConnectFailed => Outcome::ConnectFailed,
        CallOutcome::ConnectionReset => Outcome::ConnectionReset,
        CallOutcome::Cancelled => Outcome::Cancelled,
        CallOutcome::NotSent => Outcome::NotSent,
    }
}

fn to_load_report(load: &LoadLine) -> LoadReport {
    LoadReport { in_flight: load.in_flight, queued: load.queued, busy_fraction: load.busy }
}

/// Routing rules of a variant: none, or rules with weights by zone and label, and with bounds on attempts, on their
/// time-outs and on endpoints in slow start.
fn routing_rules(variant: usize, share: u16) -> RoutingRules {
    let weighted = Rc::new(RouteRule {
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
    let catch_all =
        Rc::new(RouteRule { max_attempts: Some(9), slow_start_fraction: Some(0.25), ..RouteRule::default() });
    let (baseline, canary) = match variant {
        0 => (Vec::new(), Vec::new()),
        1 => (vec![weighted.clone()], vec![bounded, catch_all]),
        _ => (vec![bounded, weighted], vec![catch_all]),
    };
    RoutingRules { baseline, canary, canary_share: share, salt: 17 }
}

fn to_gateway_action(action: &Action) -> GatewayAction {
    match action {
        Action::SendAttempt { request, endpoint, give_up_at } => {
            GatewayAction::Send { request: request.0, endpoint: endpoint.0, give_up_at: give_up_at.0 }
        }
        Action::Reject { request, retry_after, .. } => {
            GatewayAction::Reject { request: request.0, retry_after: retry_after.map(|wait| wait.0) }
        }
        Action::Fail { request, .. } => GatewayAction::Fail { request: request.0 },
        Action::CancelAttempt { request, attempt } => {
            GatewayAction::Cancel { request: request.0, attempt: *attempt }
        }
        Action::IncrementCounter { key, amount, .. } => GatewayAction::Count { key: key.0, amount: *amount },
        Action::SetTimer { timer, after } => GatewayAction::SetTimer { timer: timer.0, after: after.0 },
        Action::Subscribe => GatewayAction::Subscribe,
    }
}

/// Trace line of an action, with all its fields.
fn describe_action(action: &Action) -> String {
    match action {
        Action::SendAttempt { request, endpoint, give_up_at } => {
            format!("send {} to {} until {}", request.0, endpoint.0, give_up_at.0)
        }
        Action::Reject { request, retry_after, reason } => {
            format!(
                "reject {} after {:?} for {}",
                request.0,
                retry_after.map(|wait| wait.0),
                reason_key(*reason)
            )
        }
        Action::Fail { request, reason } => format!("fail {} for {}", request.0, reason_key(*reason)),
        Action::CancelAttempt { request, attempt } => format!("cancel {} {attempt}", request.0),
        Action::IncrementCounter { key, amount, lifetime } => {
            format!("count {} {amount} for {}", key.0, lifetime.0)
        }
        Action::SetTimer { timer, after } => format!("timer {} after {}", timer.0, after.0),
        Action::Subscribe => "subscribe".into(),
    }
}

/// Key of a rejection reason in logs and metrics.
fn reason_key(reason: RejectionReason) -> &'static str {
    reason.into()
}

fn describe_input(input: &GatewayInput) -> String {
    match input {
        GatewayInput::Endpoints { scope, endpoints } => format!("list {scope:?} of {}", endpoints.len()),
        GatewayInput::AttemptEnded(end) => {
            let (AttemptLine { request, attempt, endpoint, how, .. }, last) = (end, end.final_answer);
            format!("attempt {request} {attempt} at {endpoint} {how:?} after {} last {last}", end.elapsed)
        }
        GatewayInput::Arrival(arrival) => {
            let flags = [arrival.is_retry, arrival.upload, arrival.already_counted].map(u8::from);
            format!(
                "request {} class {} plan {} customer {} units {} marks {flags:?} prior {:?}",
                arrival.request,
                arrival.class,
                arrival.plan,
                arrival.customer,
                arrival.units,
                arrival.prior_attempts
            )
        }
        other => format!("{other:?}"),
    }
}

/// Writes the state that gateways report: numbers of known and excluded endpoints, endpoints in maintenance, and the
/// customers that have the canary rules.
fn write_gateway_states(trace: &mut String, gateways: &BTreeMap<u32, Gateway>, now: u64) {
    for (number, gateway) in gateways {
        let counts = gateway.endpoint_counts(Micros(now));
        let (known, excluded) = (counts.known, counts.excluded);
        let in_maintenance_ids: Vec<u64> =
            (0..40).filter(|e| gateway.is_in_maintenance(EndpointId(*e))).collect();
        let _ = writeln!(trace, "{number} knows {known} avoids {excluded} maintains {in_maintenance_ids:?}");
    }
    let canary = |customer: &u64| has_canary_rules(&routing_rules(1, 5_000), CustomerId(*customer));
    let _ = writeln!(trace, "new rules {:?}", (0..12).filter(canary).collect::<Vec<u64>>());
}
