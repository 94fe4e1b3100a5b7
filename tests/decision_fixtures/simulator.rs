//! The model played against the simulator's adapter, over its text wire.

use crate::model::site::{CLASSES, PLANS, TICK};
use crate::model::terms::{AttemptLine, EndpointLine, How, LoadLine, Response, Scope, Status, Stimulus};
use crate::model::{Model, Scenario};
use quota_gateway::simulator::Host;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The batches of one run and what the adapter replied.
pub struct Recording {
    pub input: String,
    pub replies: String,
}

/// Plays a scenario and records both sides.
pub fn record(scenario: Scenario) -> Recording {
    let mut host = Host::default();
    let mut recording = Recording { input: String::new(), replies: String::new() };
    let mut model = Model::new(scenario);
    while let Some((now, told)) = model.step() {
        let mut by_gateway: BTreeMap<u32, Vec<Stimulus>> = BTreeMap::new();
        for (gateway, stimulus) in told {
            by_gateway.entry(gateway).or_default().push(stimulus);
        }
        let mut batch = format!("TICK now={now}\n");
        for (gateway, stimuli) in by_gateway {
            let _ = writeln!(batch, "FOR who={gateway}");
            for stimulus in stimuli {
                write_stimulus(&mut batch, &model.scenario, gateway, &stimulus);
            }
        }
        batch.push_str("FLUSH\n");
        let reply = reply_of(&mut host, &batch).expect("a reply ends each batch");
        for (gateway, response) in responses(&reply) {
            model.react(gateway, response);
        }
        recording.input.push_str(&batch);
        recording.replies.push_str(&reply);
    }
    recording
}

/// What the adapter replies to recorded input.
pub fn replay(input: &str) -> String {
    let mut host = Host::default();
    let replies = input.lines().filter_map(|line| host.handle_line(line).expect("recorded lines are sound"));
    let replies = replies.collect();
    host.finish().expect("the last batch is complete");
    replies
}

/// What the adapter says of each field of each kind of line when its value makes no sense or is missing.
pub fn errors_of_bad_values(input: &str) -> String {
    let mut errors = String::new();
    let lines: Vec<&str> = input.lines().collect();
    let mut seen = std::collections::BTreeSet::new();
    for (i, line) in lines.iter().enumerate() {
        let message = line.split(' ').next().unwrap_or("");
        if !seen.insert(message) {
            continue;
        }
        let fields: Vec<&str> = line.split(' ').skip(1).collect();
        for (n, field) in fields.iter().enumerate() {
            let name = field.split('=').next().unwrap_or("");
            for value in [Some("?"), Some("-1"), None] {
                let mut changed: Vec<String> = fields.iter().map(|f| f.to_string()).collect();
                match value {
                    Some(value) => changed[n] = format!("{name}={value}"),
                    None => drop(changed.remove(n)),
                }
                let bad = format!("{message} {}", changed.join(" "));
                let said = first_error(&lines[..i], bad.trim_end());
                let _ = writeln!(errors, "{message} {name} {}: {said}", value.unwrap_or("missing"));
            }
        }
    }
    errors
}

/// The error of one line after others, or that there is none.
fn first_error(before: &[&str], line: &str) -> String {
    let mut host = Host::default();
    for line in before {
        host.handle_line(line).expect("recorded lines are sound");
    }
    host.handle_line(line).map_or_else(|e| e.to_string(), |_| "accepted".into())
}

fn reply_of(host: &mut Host, batch: &str) -> Option<String> {
    batch.lines().filter_map(|line| host.handle_line(line).expect("the model writes sound lines")).last()
}

fn backend_name(endpoint: u64) -> String {
    format!("10.0.{}.{}:80", endpoint / 200, endpoint % 200)
}

fn backend_number(name: &str) -> u64 {
    let parts: Vec<u64> = name.trim_end_matches(":80").split('.').filter_map(|p| p.parse().ok()).collect();
    parts[2] * 200 + parts[3]
}

fn write_stimulus(out: &mut String, scenario: &Scenario, gateway: u32, stimulus: &Stimulus) {
    // Writing to a String cannot fail.
    let _ = match stimulus {
        Stimulus::Start => return write_start(out, scenario, gateway),
        Stimulus::Stop => writeln!(out, "DOWN"),
        Stimulus::Endpoints { scope, endpoints } => return write_list(out, *scope, endpoints),
        Stimulus::Arrival(a) => {
            let _ = write!(out, "KNOCK ref={} kind={}", a.request, CLASSES[a.class].name);
            let _ = write!(out, " user_key={:016x} doors={}", a.customer, a.spread);
            let _ = write!(out, " plan={} price_units={}", PLANS[a.plan].name, a.units);
            // Some leave the deadline and the mark of a repeat to their defaults.
            if a.request % 7 != 0 {
                let _ = write!(out, " drop_dead={}", a.deadline);
            }
            if a.resent || a.request % 5 == 0 {
                let _ = write!(out, " resent={}", u8::from(a.resent));
            }
            writeln!(out)
        }
        Stimulus::Timer { timer } => writeln!(out, "RING ref={timer}"),
        Stimulus::StreamStarted { request } => writeln!(out, "FIRST_BYTE ref={request}"),
        Stimulus::ClientDisconnected { request } => writeln!(out, "TIMED_OUT_CLIENT ref={request}"),
        Stimulus::Pong { endpoint, how, load } => {
            let (name, how, load) = (backend_name(*endpoint), code(*how), report(load));
            writeln!(out, "PONG backend={name} how={how}{load}\nSOMETHING_NEW of=later")
        }
        Stimulus::CounterReplied { key, how, total } => {
            writeln!(out, "COUNT_RESULT book={key} how={} result_value={total} took=900", code(*how))
        }
        Stimulus::AttemptEnded(end) => return write_attempt(out, end),
        other => panic!("{other:?} is not on the simulator's wire"),
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
        ("bounds.second_copies".into(), flag(scenario.second_copies).to_string()),
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

fn write_list(out: &mut String, scope: Scope, endpoints: &[EndpointLine]) {
    let scope = match scope {
        Scope::Incremental => "incr",
        Scope::Complete if endpoints.len().is_multiple_of(2) => "total",
        Scope::Complete => "warm_copy",
        Scope::Failed => "lost",
    };
    let _ = writeln!(out, "FLEET gen=1 scope={scope} items={}", endpoints.len());
    for e in endpoints {
        let status = match e.status {
            Status::InService => "in_service",
            Status::Draining => "terminating",
            Status::Removed => "terminated",
        };
        let _ = write!(out, "ITEM backend={} rack_zone=z{} model=m", backend_name(e.endpoint), e.zone);
        let _ = write!(out, " pod={} status={status} heft={}", e.cell, e.weight);
        let _ = writeln!(out, " last_start={}", e.started);
    }
}

fn write_attempt(out: &mut String, end: &AttemptLine) {
    let _ = write!(out, "OUTCOME ref={} trial={}", end.request, end.attempt);
    let _ = write!(out, " backend={} how={} took={}", backend_name(end.endpoint), code(end.how), end.elapsed);
    let _ =
        writeln!(out, " ended={} settled={}{}", u8::from(end.final_answer), end.settled, report(&end.load));
}

fn code(how: How) -> u32 {
    match how {
        How::Success => 200,
        How::ServerError => 500,
        How::Rejected => 503,
        How::Timeout => 504,
        How::ConnectFailed => 502,
        How::ConnectionReset => 598,
        How::Cancelled => 499,
        How::NotSent => 410,
    }
}

fn report(load: &LoadLine) -> String {
    let figures = [("concurrent", load.in_flight), ("depth", load.queued), ("load_share", load.busy)];
    let pairs: Vec<String> =
        figures.iter().filter_map(|(name, v)| v.map(|v| format!("{name}:{v}"))).collect();
    if pairs.is_empty() {
        return String::new();
    }
    format!(" report={}", pairs.join(","))
}

fn responses(reply: &str) -> Vec<(u32, Response)> {
    let mut found = Vec::new();
    let mut gateway = 0;
    for line in reply.lines() {
        let mut words = line.split(' ');
        let message = words.next().unwrap_or("");
        let pairs: BTreeMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
        let number = |name: &str| pairs[name].parse::<u64>().expect("a number");
        let request = pairs.get("ref").map_or(0, |r| r.parse().expect("a number"));
        let response = match message {
            "AS" => {
                gateway = number("who") as u32;
                continue;
            }
            "EOR" => continue,
            "ROUTE" => {
                let endpoint = backend_number(pairs["backend"]);
                Response::Send { request, endpoint, give_up_at: number("abandon_at") }
            }
            "REJECT" => {
                let retry_after = pairs.contains_key("backoff").then(|| number("backoff"));
                Response::Reject { request, retry_after }
            }
            "FINISH_ERROR" => Response::Fail { request },
            "ABANDON" => Response::Cancel { request, attempt: number("trial") as usize },
            "ADD_AND_GET" => {
                Response::Count { key: number("book"), amount: pairs["amount"].parse().expect("a number") }
            }
            "WAKE_ME" => Response::SetTimer { timer: request, after: number("in") },
            "LISTEN" => Response::Subscribe,
            other => panic!("unknown reply {other}"),
        };
        found.push((gateway, response));
    }
    found
}
