//! Runs the model against the simulator's adapter, through its text protocol.

use crate::model::messages::{
    AttemptLine, CallOutcome, EndpointLine, GatewayAction, GatewayInput, ListScope, LoadLine, Status,
};
use crate::model::site::{CLASSES, PLANS, TICK};
use crate::model::{Model, Scenario};
use quota_gateway::simulator::Host;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Batches of one run, and the replies of the adapter.
pub struct Recording {
    pub input: String,
    pub replies: String,
}

/// Runs a scenario and records the batches and the replies.
pub fn record(scenario: Scenario) -> Recording {
    let mut host = Host::default();
    let mut recording = Recording { input: String::new(), replies: String::new() };
    let mut model = Model::new(scenario);
    while let Some((now, inputs)) = model.step() {
        let mut by_gateway: BTreeMap<u32, Vec<GatewayInput>> = BTreeMap::new();
        for (gateway, input) in inputs {
            by_gateway.entry(gateway).or_default().push(input);
        }
        let mut batch = format!("TICK now={now}\n");
        for (gateway, inputs) in by_gateway {
            let _ = writeln!(batch, "FOR who={gateway}");
            for input in inputs {
                write_input(&mut batch, &model.scenario, gateway, &input);
            }
        }
        batch.push_str("FLUSH\n");
        let reply = reply_to(&mut host, &batch).expect("a reply ends each batch");
        for (gateway, action) in parse_reply(&reply) {
            model.carry_out(gateway, action);
        }
        recording.input.push_str(&batch);
        recording.replies.push_str(&reply);
    }
    recording
}

/// Returns the adapter's replies to recorded input.
pub fn replay(input: &str) -> String {
    let mut host = Host::default();
    let replies = input.lines().filter_map(|line| host.handle_line(line).expect("recorded lines are valid"));
    let replies = replies.collect();
    host.finish().expect("the last batch is complete");
    replies
}

/// Returns the adapter's errors for each field of each message when its value is invalid or missing.
pub fn errors_for_invalid_values(input: &str) -> String {
    let mut errors = String::new();
    let lines: Vec<&str> = input.lines().collect();
    let mut tested_messages = std::collections::BTreeSet::new();
    for (i, line) in lines.iter().enumerate() {
        let message = line.split(' ').next().unwrap_or("");
        if !tested_messages.insert(message) {
            continue;
        }
        let fields: Vec<&str> = line.split(' ').skip(1).collect();
        for (n, field) in fields.iter().enumerate() {
            let name = field.split('=').next().unwrap_or("");
            for value in [Some("?"), Some("-1"), None] {
                let mut changed_fields: Vec<String> = fields.iter().map(|f| f.to_string()).collect();
                match value {
                    Some(value) => changed_fields[n] = format!("{name}={value}"),
                    None => drop(changed_fields.remove(n)),
                }
                let invalid_line = format!("{message} {}", changed_fields.join(" "));
                let error = first_error(&lines[..i], invalid_line.trim_end());
                let _ = writeln!(errors, "{message} {name} {}: {error}", value.unwrap_or("missing"));
            }
        }
    }
    errors
}

/// Returns the error of a line that follows valid lines, or `accepted`.
fn first_error(before: &[&str], line: &str) -> String {
    let mut host = Host::default();
    for line in before {
        host.handle_line(line).expect("recorded lines are valid");
    }
    host.handle_line(line).map_or_else(|e| e.to_string(), |_| "accepted".into())
}

fn reply_to(host: &mut Host, batch: &str) -> Option<String> {
    batch.lines().filter_map(|line| host.handle_line(line).expect("the model writes valid lines")).last()
}

fn backend_name(endpoint: u64) -> String {
    format!("10.0.{}.{}:80", endpoint / 200, endpoint % 200)
}

fn backend_number(name: &str) -> u64 {
    let parts: Vec<u64> = name.trim_end_matches(":80").split('.').filter_map(|p| p.parse().ok()).collect();
    parts[2] * 200 + parts[3]
}

fn write_input(out: &mut String, scenario: &Scenario, gateway: u32, input: &GatewayInput) {
    // Writing to a String cannot fail.
    let _ = match input {
        GatewayInput::Start => return write_start(out, scenario, gateway),
        GatewayInput::Stop => writeln!(out, "DOWN"),
        GatewayInput::Endpoints { scope, endpoints } => return write_list(out, *scope, endpoints),
        GatewayInput::Arrival(arrival) => {
            let _ = write!(out, "KNOCK ref={} kind={}", arrival.request, CLASSES[arrival.class].name);
            let _ = write!(out, " user_key={:016x} doors={}", arrival.customer, arrival.gateway_count);
            let _ = write!(out, " plan={} price_units={}", PLANS[arrival.plan].name, arrival.units);
            // Some requests use the defaults of the deadline and of the retry flag.
            if arrival.request % 7 != 0 {
                let _ = write!(out, " drop_dead={}", arrival.deadline);
            }
            if arrival.is_retry || arrival.request % 5 == 0 {
                let _ = write!(out, " resent={}", u8::from(arrival.is_retry));
            }
            writeln!(out)
        }
        GatewayInput::Timer { timer } => writeln!(out, "RING ref={timer}"),
        GatewayInput::StreamStarted { request } => writeln!(out, "FIRST_BYTE ref={request}"),
        GatewayInput::ClientDisconnected { request } => writeln!(out, "TIMED_OUT_CLIENT ref={request}"),
        GatewayInput::Pong { endpoint, how, load } => {
            let (name, how, load) = (backend_name(*endpoint), status_code(*how), load_report_field(load));
            writeln!(out, "PONG backend={name} how={how}{load}\nSOMETHING_NEW of=later")
        }
        GatewayInput::CounterReplied { key, how, total } => {
            writeln!(out, "COUNT_RESULT book={key} how={} result_value={total} took=900", status_code(*how))
        }
        GatewayInput::AttemptEnded(end) => return write_attempt(out, end),
        other => panic!("{other:?} has no message in the simulator's protocol"),
    };
}

fn write_start(out: &mut String, scenario: &Scenario, gateway: u32) {
    let flag = u8::from;
    let mut pairs = vec![
        ("rng_seed".to_string(), (scenario.seed * 1_000 + u64::from(gateway)).to_string()),
        ("balancers".into(), scenario.gateways.to_string()),
        ("my_number".into(), gateway.to_string()),
        ("zones".into(), "z0,z1,z2".into()),
        ("zone".into(), format!("z{}", gateway % 3)),
        ("tick".into(), TICK.to_string()),
        ("bounds.max_attempts".into(), "4".into()),
        ("bounds.second_copies".into(), flag(scenario.hedging).to_string()),
        ("bounds.may_cancel".into(), flag(scenario.may_cancel).to_string()),
        ("bounds.probing".into(), "1".into()),
        ("bounds.retry_after".into(), flag(scenario.retry_after).to_string()),
        ("bounds.max_retry_after".into(), "2000000".into()),
        ("bounds.dial_timeout".into(), "500000".into()),
        ("specifics.counter".into(), scenario.counter.to_string()),
        ("specifics.count_limit".into(), "80000".into()),
        ("specifics.units_top".into(), "4".into()),
        ("rules.answer_slack".into(), "8000".into()),
        ("rules.cold_from".into(), "0.2".into()),
        ("rules.cold".into(), "6000000".into()),
        ("rules.fall_multiple".into(), "1.8".into()),
        ("rules.tip_after".into(), "1000000".into()),
        ("unheard.of".into(), "7".into()),
    ];
    if scenario.must_subscribe {
        pairs.push(("membership_mode".into(), "subscribe".into()));
    }
    pairs.push(("classes.count".into(), CLASSES.len().to_string()));
    for (i, class) in CLASSES.iter().enumerate() {
        let mut put = |key: &str, value: String| pairs.push((format!("classes.{i}.{key}"), value));
        put("name", class.name.into());
        put("effect", class.effect.into());
        put("key_scope", class.key_scope.into());
        put("deadline", class.deadline.to_string());
        put("on_time", class.on_time.to_string());
        put("credit", class.credit.to_string());
        put("late_share", class.late_share.to_string());
        put("window", class.window.to_string());
        put("streaming", class.streaming.to_string());
    }
    pairs.push(("plans.count".into(), PLANS.len().to_string()));
    for (i, plan) in PLANS.iter().enumerate() {
        let mut put = |key: &str, value: f64| pairs.push((format!("plans.{i}.{key}"), value.to_string()));
        put("per_second", plan.per_second);
        put("peak_units", plan.peak_units);
        put("open", plan.open);
        put("price", plan.price);
        put("extra_worth", plan.extra_worth);
        put("excess_cost", plan.excess_cost);
        put("ceiling_rate", plan.ceiling_rate);
        put("cap_depth", plan.cap_depth);
        put("tolerance", plan.tolerance);
        pairs.push((format!("plans.{i}.name"), plan.name.into()));
    }
    out.push_str("START");
    for (key, value) in pairs {
        let _ = write!(out, " {key}={value}");
    }
    out.push('\n');
}

fn write_list(out: &mut String, scope: ListScope, endpoints: &[EndpointLine]) {
    let scope = match scope {
        ListScope::Incremental => "incr",
        ListScope::Complete if endpoints.len().is_multiple_of(2) => "total",
        ListScope::Complete => "warm_copy",
        ListScope::Failed => "lost",
    };
    let _ = writeln!(out, "FLEET gen=1 scope={scope} items={}", endpoints.len());
    for endpoint in endpoints {
        let status = match endpoint.status {
            Status::InService => "in_service",
            Status::Draining => "terminating",
            Status::Removed => "terminated",
        };
        let _ = write!(
            out,
            "ITEM backend={} rack_zone=z{} model=m",
            backend_name(endpoint.endpoint),
            endpoint.zone
        );
        let _ = write!(out, " pod={} status={status} heft={}", endpoint.cell, endpoint.weight);
        let _ = writeln!(out, " last_start={}", endpoint.started);
    }
}

fn write_attempt(out: &mut String, end: &AttemptLine) {
    let _ = write!(out, "OUTCOME ref={} trial={}", end.request, end.attempt);
    let _ = write!(
        out,
        " backend={} how={} took={}",
        backend_name(end.endpoint),
        status_code(end.how),
        end.elapsed
    );
    let _ = writeln!(
        out,
        " ended={} settled={}{}",
        u8::from(end.final_answer),
        end.settled,
        load_report_field(&end.load)
    );
}

fn status_code(how: CallOutcome) -> u32 {
    match how {
        CallOutcome::Success => 200,
        CallOutcome::ServerError => 500,
        CallOutcome::Rejected => 503,
        CallOutcome::Timeout => 504,
        CallOutcome::ConnectFailed => 502,
        CallOutcome::ConnectionReset => 598,
        CallOutcome::Cancelled => 499,
        CallOutcome::NotSent => 410,
    }
}

fn load_report_field(load: &LoadLine) -> String {
    let figures = [("concurrent", load.in_flight), ("depth", load.queued), ("load_share", load.busy)];
    let pairs: Vec<String> =
        figures.iter().filter_map(|(name, v)| v.map(|v| format!("{name}:{v}"))).collect();
    if pairs.is_empty() {
        return String::new();
    }
    format!(" report={}", pairs.join(","))
}

fn parse_reply(reply: &str) -> Vec<(u32, GatewayAction)> {
    let mut found = Vec::new();
    let mut gateway = 0;
    for line in reply.lines() {
        let mut words = line.split(' ');
        let message = words.next().unwrap_or("");
        let pairs: BTreeMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
        let number = |name: &str| pairs[name].parse::<u64>().expect("a number");
        let request = pairs.get("ref").map_or(0, |r| r.parse().expect("a number"));
        let action = match message {
            "AS" => {
                gateway = number("who") as u32;
                continue;
            }
            "EOR" => continue,
            "ROUTE" => {
                let endpoint = backend_number(pairs["backend"]);
                GatewayAction::Send { request, endpoint, give_up_at: number("abandon_at") }
            }
            "REJECT" => {
                let retry_after = pairs.contains_key("backoff").then(|| number("backoff"));
                GatewayAction::Reject { request, retry_after }
            }
            "FINISH_ERROR" => GatewayAction::Fail { request },
            "ABANDON" => GatewayAction::Cancel { request, attempt: number("trial") as usize },
            "ADD_AND_GET" => GatewayAction::Count {
                key: number("book"),
                amount: pairs["amount"].parse().expect("a number"),
            },
            "WAKE_ME" => GatewayAction::SetTimer { timer: request, after: number("in") },
            "LISTEN" => GatewayAction::Subscribe,
            other => panic!("unknown message {other} in a reply"),
        };
        found.push((gateway, action));
    }
    found
}
