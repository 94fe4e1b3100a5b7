//! The model played against the decision module's own interface, which carries more than the simulator's
//! wire: hand-overs between two processes, request bodies, maintenance, quota leases, routing rules, attempts
//! that other gateways made.

use crate::model::{
    AttemptLine, EndpointLine, How, LoadLine, Model, Response, Scenario, Scope, Status, Stimulus, CLASSES,
    MS, PLANS, TICK,
};
use quota_gateway::decision::api::*;
use quota_gateway::decision::gateway::{has_new, Gateway};
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
        aim: Micros(c.on_time),
        deadline: Micros(c.deadline),
        worth: c.credit,
        late_worth: c.late_share,
        effect: match c.effect {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::WithKey,
            _ => Idempotency::NotIdempotent,
        },
        group: match c.key_scope {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        window: Micros(c.window),
        stream: c.streaming,
    });
    let plans = PLANS.iter().map(|p| Plan {
        rate: p.per_second,
        burst: p.peak_units,
        open: p.open,
        price: p.price,
        over_worth: p.extra_worth,
        over_cost: p.excess_cost,
        ceiling_rate: p.ceiling_rate,
        ceiling_burst: p.cap_depth,
        ceiling_slack: p.tolerance,
    });
    // Two processes of one gateway have one number.
    let settings = Settings {
        gateways: scenario.gateways,
        me: number % 100,
        zone: ZoneId(number % 3),
        classes: classes.collect(),
        plans: plans.collect(),
        max_attempts: 4,
        second_copies: scenario.second_copies,
        may_cancel: scenario.may_cancel,
        probes: true,
        retry_after: scenario.retry_after,
        max_retry_after: Micros(2_000 * MS),
        counter: scenario.counter,
        count_timeout: Micros(80 * MS),
        most_units: 4.0,
        must_subscribe: scenario.must_subscribe,
        connect_timeout: Micros(500 * MS),
        answer_slack: Micros(8 * MS),
        cold_from: 0.2,
        cold: Micros(6_000 * MS),
        fall_multiple: 1.8,
        tip_after: Micros(1_000 * MS),
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
            Event::Servers(scope, endpoints.iter().map(entry_of).collect())
        }
        Stimulus::Arrival(a) => {
            let prior = |&(endpoint, sent): &(u64, u64)| PriorAttempt {
                server: EndpointId(endpoint),
                sent: Micros(sent),
            };
            Event::Request(Arrival {
                id: RequestId(a.request),
                class: ClassId(a.class),
                plan: PlanId(a.plan),
                customer: CustomerId(a.customer),
                spread: a.spread,
                first: a.first,
                deadline: Micros(a.deadline),
                units: a.units,
                resent: a.resent,
                upload: a.upload,
                earlier: a.prior.iter().map(prior).collect(),
                counted: a.counted,
            })
        }
        Stimulus::Timer { timer } => Event::Timer(TimerId(timer)),
        Stimulus::StreamStarted { request } => Event::StreamStarted(RequestId(request)),
        Stimulus::ResponseStarted { request, attempt, elapsed } => {
            Event::AnswerBegun(RequestId(request), attempt, Micros(elapsed))
        }
        Stimulus::RequestBodyEnded { request, deadline } => {
            Event::BodyEnded(RequestId(request), Micros(deadline))
        }
        Stimulus::ClientDisconnected { request } => Event::ClientGone(RequestId(request)),
        Stimulus::Pong { endpoint, how, load } => {
            Event::Probed(EndpointId(endpoint), outcome_of(how), report_of(&load))
        }
        Stimulus::CounterReplied { key, how, total } => {
            Event::Counted(CounterKey(key), outcome_of(how), total)
        }
        Stimulus::AttemptEnded(end) => Event::AttemptEnded(attempt_of(&end)),
        Stimulus::Maintenance { endpoint, active } => Event::Maintenance(EndpointId(endpoint), active),
        Stimulus::PeerProcessExited => Event::Alone,
        Stimulus::QuotaLease { fraction, until, absent } => {
            Event::Lent(QuotaLease { part: fraction, until: Micros(until), away: absent })
        }
        Stimulus::Routing { variant, share } => Event::Routing(routing_of(variant, share)),
        Stimulus::Start | Stimulus::Stop | Stimulus::HandOver { .. } => unreachable!("no event of a gateway"),
    }
}

fn entry_of(line: &EndpointLine) -> EndpointUpdate {
    EndpointUpdate {
        server: EndpointId(line.endpoint),
        zone: ZoneId(line.zone),
        cell: CellId(line.cell),
        listed: match line.status {
            Status::InService => EndpointStatus::InService,
            Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Removed,
        },
        weight: line.weight,
        started: Some(Micros(line.started)).filter(|s| s.0 > 0),
        label: LabelId(line.label),
    }
}

fn attempt_of(end: &AttemptLine) -> AttemptEnded {
    AttemptEnded {
        id: RequestId(end.request),
        attempt: end.attempt,
        server: EndpointId(end.endpoint),
        outcome: outcome_of(end.how),
        took: Micros(end.elapsed),
        ended: end.final_answer,
        settled: Some(end.settled).filter(|s| *s > 0.0),
        report: report_of(&end.load),
    }
}

fn outcome_of(how: How) -> Outcome {
    match how {
        How::Success => Outcome::Ok,
        How::ServerError => Outcome::Error,
        How::Rejected => Outcome::Full,
        How::Timeout => Outcome::Timeout,
        How::ConnectFailed => Outcome::ConnectFailed,
        How::ConnectionReset => Outcome::Reset,
        How::Cancelled => Outcome::Cancelled,
        How::NotSent => Outcome::Moot,
    }
}

fn report_of(load: &LoadLine) -> LoadReport {
    LoadReport { inflight: load.in_flight, queue: load.queued, busy: load.busy }
}

/// Rules of routing: none, by zone and label, or with bounds on attempts, time and cold endpoints.
fn routing_of(variant: usize, share: u16) -> RoutingRules {
    let by_zone = Rc::new(RouteRule {
        class: Some(ClassId(0)),
        zones: vec![(ZoneId(0), 0.5), (ZoneId(2), 3.0)],
        labels: vec![(LabelId(1), 0.25)],
        ..RouteRule::default()
    });
    let bounded = Rc::new(RouteRule {
        plan: Some(PlanId(3)),
        attempts: Some(2),
        give_up: Some(0.4),
        cold: Some(0.5),
        ..RouteRule::default()
    });
    let rest = Rc::new(RouteRule { attempts: Some(9), cold: Some(0.25), ..RouteRule::default() });
    let (old, new) = match variant {
        0 => (Vec::new(), Vec::new()),
        1 => (vec![by_zone.clone()], vec![bounded, rest]),
        _ => (vec![bounded, by_zone], vec![rest]),
    };
    RoutingRules { old, new, share, salt: 17 }
}

fn response_of(action: &Action) -> Response {
    match action {
        Action::Send(request, endpoint, until) => {
            Response::Send { request: request.0, endpoint: endpoint.0, give_up_at: until.0 }
        }
        Action::Refuse(request, wait, _) => {
            Response::Reject { request: request.0, retry_after: wait.map(|w| w.0) }
        }
        Action::Fail(request, _) => Response::Fail { request: request.0 },
        Action::Cancel(request, attempt) => Response::Cancel { request: request.0, attempt: *attempt },
        Action::Count(name, amount, _) => Response::Count { key: name.0, amount: *amount },
        Action::SetTimer(timer, after) => Response::SetTimer { timer: timer.0, after: after.0 },
        Action::Subscribe => Response::Subscribe,
        Action::Probe(_) | Action::FetchList => panic!("{action:?} is never asked for"),
    }
}

/// The words of an action in the trace, with all that it holds.
fn words_of_action(action: &Action) -> String {
    match action {
        Action::Send(request, endpoint, until) => {
            format!("send {} to {} until {}", request.0, endpoint.0, until.0)
        }
        Action::Refuse(request, wait, reason) => {
            format!("reject {} after {:?} for {}", request.0, wait.map(|w| w.0), key_of(*reason))
        }
        Action::Fail(request, reason) => format!("fail {} for {}", request.0, key_of(*reason)),
        Action::Cancel(request, attempt) => format!("cancel {} {attempt}", request.0),
        Action::Count(name, amount, life) => format!("count {} {amount} for {}", name.0, life.0),
        Action::SetTimer(timer, after) => format!("timer {} after {}", timer.0, after.0),
        Action::Subscribe => "subscribe".into(),
        Action::Probe(_) | Action::FetchList => panic!("{action:?} is never asked for"),
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
        let (known, avoided) = gateway.fleet(Micros(now));
        let maintained: Vec<u64> = (0..40).filter(|e| gateway.is_out(EndpointId(*e))).collect();
        let _ = writeln!(trace, "{number} knows {known} avoids {avoided} maintains {maintained:?}");
    }
    let canary = |c: &u64| has_new(&routing_of(1, 5_000), CustomerId(*c));
    let _ = writeln!(trace, "new rules {:?}", (0..12).filter(canary).collect::<Vec<u64>>());
}
