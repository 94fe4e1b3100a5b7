//! Every key of a scenario file is read into its own field, and wrong keys or values are rejected with the exact
//! messages of `tests/fixtures/scenario-errors.txt`.

use quota_gateway_lab::scenario::{Class, Effect, Fault, Plan, Scenario};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::Value;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../tests/fixtures").join(name)
}

fn all_keys() -> String {
    std::fs::read_to_string(fixture("scenario-all-keys.toml")).expect("the fixture")
}

/// Collects all values of a file by dotted key, with integers as floats, because most keys accept both.
fn flatten(prefix: &str, value: &Value, into: &mut BTreeMap<String, Value>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (name, value) in table {
                let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                flatten(&key, value, into);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_table) => {
            for (index, value) in items.iter().enumerate() {
                flatten(&format!("{prefix}[{index}]"), value, into);
            }
        }
        value => drop(into.insert(prefix.to_string(), as_float(value.clone()))),
    }
}

fn as_float(value: Value) -> Value {
    match value {
        Value::Integer(number) => Value::Float(number as f64),
        Value::Array(items) => Value::Array(items.into_iter().map(as_float).collect()),
        other => other,
    }
}

/// Values of the parsed scenario, by the dotted keys of the file.
struct ReadValues(BTreeMap<String, Value>);

impl ReadValues {
    fn put(&mut self, key: &str, value: impl Into<Value>) {
        assert!(self.0.insert(key.to_string(), as_float(value.into())).is_none(), "{key} was read twice");
    }
    fn numbers<const N: usize>(&mut self, table: &str, values: [(&str, f64); N]) {
        for (name, value) in values {
            self.put(&format!("{table}.{name}"), value);
        }
    }
    fn ranges<const N: usize>(&mut self, table: &str, values: [(&str, [f64; 2]); N]) {
        for (name, [from, to]) in values {
            self.put(&format!("{table}.{name}"), vec![from, to]);
        }
    }
}

#[test]
fn every_scenario_key_is_read_into_its_own_field() {
    let text = all_keys();
    let scenario = Scenario::parse(PathBuf::from("all.toml"), &text, &[]).unwrap_or_else(|e| panic!("{e}"));
    let mut written = BTreeMap::new();
    flatten("", &Value::Table(toml::from_str(&text).expect("TOML")), &mut written);
    let mut read = ReadValues(BTreeMap::new());
    top_level(&scenario, &mut read);
    load(&scenario, &mut read);
    gateways(&scenario, &mut read);
    backends(&scenario, &mut read);
    scenario.plans.iter().enumerate().for_each(|(i, p)| plan(&format!("plan[{i}]"), p, &mut read));
    scenario.classes.iter().enumerate().for_each(|(i, c)| class(&format!("class[{i}]"), c, &mut read));
    scenario.faults.iter().enumerate().for_each(|(i, f)| fault(&format!("fault[{i}]"), f, &mut read));
    for (key, value) in &written {
        assert_eq!(read.0.get(key), Some(value), "{key}");
    }
    let others: Vec<_> = read.0.keys().filter(|key| !written.contains_key(*key)).collect();
    assert!(others.is_empty(), "the fixture lacks {others:?}");
}

fn top_level(scenario: &Scenario, read: &mut ReadValues) {
    read.put("name", scenario.name.clone());
    read.put("about", scenario.about.clone());
    read.put("seed", scenario.seed as i64);
    read.put("length_s", scenario.length_s);
    read.put("warm_up_s", scenario.warm_up_s);
    let counter = &scenario.counter;
    read.numbers(
        "counter",
        [
            ("per_s", counter.per_s),
            ("latency_ms", counter.latency_ms),
            ("queue_ms", counter.queue_ms),
            ("timeout_ms", counter.timeout_ms),
        ],
    );
    read.ranges(
        "discovery",
        [("notice_s", scenario.discovery.notice_s), ("add_s", scenario.discovery.add_s)],
    );
    read.put("net.zones", scenario.net.zones.clone());
    let network = &scenario.net;
    read.numbers(
        "net",
        [
            ("same_ms", network.same_ms),
            ("cross_ms", network.cross_ms),
            ("client_ms", network.client_ms),
            ("jitter", network.jitter),
        ],
    );
    for (key, bound) in &scenario.expect.0 {
        read.put(&format!("expect.{key}"), *bound);
    }
}

fn load(scenario: &Scenario, read: &mut ReadValues) {
    let load = &scenario.load;
    read.numbers(
        "load",
        [
            ("per_s", load.per_s),
            ("full", load.full),
            ("heavy", load.heavy),
            ("spiky", load.spiky),
            ("skew", load.skew),
            ("retries", load.retries.into()),
            ("backoff_ms", load.backoff_ms),
            ("honour", load.honour),
            ("connections", load.connections as f64),
            ("body_bytes", load.body_bytes as f64),
        ],
    );
    read.ranges(
        "load",
        [
            ("calm_use", load.calm_use),
            ("heavy_x", load.heavy_x),
            ("spike_x", load.spike_x),
            ("spike_s", load.spike_s),
            ("spike_every_s", load.spike_every_s),
            ("spread", [load.spread[0] as f64, load.spread[1] as f64]),
            ("shift_s", load.shift_s),
            ("try_share", load.try_share),
            ("notice_s", load.notice_s),
        ],
    );
}

fn gateways(scenario: &Scenario, read: &mut ReadValues) {
    let gateways = &scenario.gateways;
    read.numbers(
        "gateways",
        [
            ("count", gateways.count as f64),
            ("memory_mb", gateways.memory_mb),
            ("sockets", gateways.sockets as f64),
            ("lend", gateways.lend),
            ("branches", gateways.branches as f64),
        ],
    );
    for (name, on) in [("peers", gateways.peers), ("disks", gateways.disks), ("rollout", gateways.rollout)] {
        read.put(&format!("gateways.{name}"), on);
    }
    for (table, lines) in [("ledger", &gateways.ledger), ("branch", &gateways.branch)] {
        for (key, value) in lines {
            read.put(&format!("gateways.{table}.{key}"), value.clone());
        }
    }
    for (key, value) in &gateways.env {
        read.put(&format!("gateways.env.{key}"), value.clone());
    }
    read.put("gateways.second", gateways.second.iter().map(|number| *number as i64).collect::<Vec<_>>());
}

fn backends(scenario: &Scenario, read: &mut ReadValues) {
    let backends = &scenario.backends;
    read.numbers(
        "backends",
        [
            ("count", backends.count as f64),
            ("cores", backends.cores),
            ("slots_per_core", backends.slots_per_core),
            ("queue_per_core", backends.queue_per_core),
            ("cold_from", backends.cold_from),
            ("cold_s", backends.cold_s),
            ("fall_multiple", backends.fall_multiple),
            ("fall_s", backends.fall_s),
            ("error_rate", backends.error_rate),
            ("connections_per_core", backends.connections_per_core as f64),
            ("handshake_us", backends.handshake_us),
            ("idle_s", backends.idle_s),
            ("report_ms", backends.report_ms),
        ],
    );
    read.ranges("backends", [("speed", backends.speed)]);
    read.put("backends.drops_cancelled", backends.drops_cancelled);
    read.put("backends.label", backends.label.clone());
}

fn plan(table: &str, plan: &Plan, read: &mut ReadValues) {
    read.put(&format!("{table}.name"), plan.name.clone());
    read.numbers(
        table,
        [
            ("share", plan.share),
            ("rate", plan.rate),
            ("burst_s", plan.burst_s),
            ("price", plan.price),
            ("over_cost", plan.over_cost),
            ("ceiling", plan.ceiling),
        ],
    );
}

fn class(table: &str, class: &Class, read: &mut ReadValues) {
    read.put(&format!("{table}.name"), class.name.clone());
    let effect = match class.effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    };
    read.put(&format!("{table}.effect"), effect);
    read.numbers(
        table,
        [
            ("share", class.share),
            ("work_ms", class.work_ms),
            ("work_cv", class.work_cv),
            ("aim_ms", class.aim_ms),
            ("deadline_ms", class.deadline_ms),
            ("worth", class.worth),
            ("late_worth", class.late_worth),
            ("window_ms", class.window_ms),
        ],
    );
}

fn fault(table: &str, fault: &Fault, read: &mut ReadValues) {
    read.put(&format!("{table}.kind"), fault.kind.name());
    read.put(&format!("{table}.at_s"), fault.at_s);
    let numbers = [
        ("for_s", fault.for_s),
        ("delay_ms", fault.delay_ms),
        ("jitter_ms", fault.jitter_ms),
        ("loss", fault.loss),
        ("duplicate", fault.duplicate),
        ("reorder", fault.reorder),
        ("factor", fault.factor),
        ("rate", fault.rate),
        ("batch", fault.batch),
        ("every_s", fault.every_s),
        ("drain_s", fault.drain_s),
        ("errors", fault.errors),
    ];
    for (name, value) in numbers {
        if let Some(value) = value {
            read.put(&format!("{table}.{name}"), value);
        }
    }
    for (name, range) in [("flap_s", fault.flap_s), ("back_s", fault.back_s)] {
        if let Some([from, to]) = range {
            read.put(&format!("{table}.{name}"), vec![from, to]);
        }
    }
    for (name, list) in [("who", &fault.who), ("with", &fault.with), ("plans", &fault.plans)] {
        if !list.is_empty() {
            read.put(&format!("{table}.{name}"), list.clone());
        }
    }
    for (name, text) in [("label", &fault.label), ("rules", &fault.rules)] {
        if let Some(text) = text {
            read.put(&format!("{table}.{name}"), text.clone());
        }
    }
    if let Some(one_way) = fault.one_way {
        read.put(&format!("{table}.one_way"), one_way);
    }
}

/// Invalid files, each derived from the fixture by one replacement: the old text and the new text.
const REPLACEMENTS: &[(&str, &str)] = &[
    ("name = \"all-keys\"", "name = \"all keys\""),
    ("about = \"Every key once.\"", "about = \" \""),
    ("about = \"Every key once.\"", "abuot = \"Every key once.\""),
    ("length_s = 60", "length_s = 0.5"),
    ("warm_up_s = 3", "warm_up_s = \"three\""),
    ("per_s = 310", "per_ms = 310"),
    ("calm_use = [0.18, 0.48]", "calm_use = [0.48, 0.18]"),
    ("calm_use = [0.18, 0.48]", "calm_use = [0.48]"),
    ("spiky = 0.16", "spiky = 0.9"),
    ("retries = 3", "retries = -3"),
    ("spread = [1, 3]", "spread = [1, 30]"),
    ("memory_mb = 193", "memory = 193"),
    ("second = [1, 2]", "second = [1, 20]"),
    ("cores = 2.5", "core = 2.5"),
    ("cold_from = 0.29", "cold_from = 7"),
    ("timeout_ms = 31", "timeout = 31"),
    ("add_s = [0.4, 1.1]", "added_s = [0.4, 1.1]"),
    ("same_ms = 0.3", "some_ms = 0.3"),
    ("zones = [\"hall-a\", \"hall-b\"]", "zones = []"),
    ("burst_s = 6.5", "bursts = 6.5"),
    ("burst_s = 6.5", "burst_s = 0.2"),
    ("effect = \"safe\"", "effect = \"pure\""),
    ("aim_ms = 510", "aim_ms = 5100"),
    ("late_worth = 0.1", "late = 0.1"),
    ("kind = \"cut\"", "kind = \"cuts\""),
    ("kind = \"cut\"", "kind = \"list-move\""),
    ("kind = \"restart\"", "kind = \"pause\""),
    ("who = [\"g0\"]", "who = [\"g99\"]"),
    ("who = [\"g0\"]", "who = [\"zone:nowhere\"]"),
    ("who = [\"g0\"]", "who = [\"nobody\"]"),
    ("plans = [\"team\"]", "plans = [\"none\"]"),
    ("loss = 0.1", "loss = 1.1"),
    ("back_s = [1.5, 2.5]", "back_s = [2.5, 1.5]"),
    ("served_min = 0.9", "served = 0.9"),
    ("served_min = 0.9", "srved_min = 0.9"),
    ("served_min = 0.9", "served_min = inf"),
];

#[test]
fn invalid_scenarios_are_rejected_with_the_recorded_messages() {
    let text = all_keys();
    let mut messages = String::new();
    for (from, to) in REPLACEMENTS {
        assert!(text.contains(from), "the fixture lacks {from}");
        let invalid = text.replacen(from, to, 1);
        let problems = Scenario::parse(PathBuf::from("all.toml"), &invalid, &[]).expect_err(to);
        messages.push_str(&format!("# {from} -> {to}\n{problems}\n"));
    }
    let path = fixture("scenario-errors.txt");
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, &messages).expect("the fixture can be written");
    }
    let recorded = std::fs::read_to_string(path).expect("the fixture");
    assert_eq!(messages, recorded, "the messages for invalid scenarios have changed");
}
