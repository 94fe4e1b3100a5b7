//! Every key of a scenario file is read into its own place, and a wrong one is refused with the words of the build
//! that wrote `tests/fixtures/scenario-errors.txt`.

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

/// All values of a file by their dotted keys, with whole numbers as fractions, as most keys take both.
fn flatten(prefix: &str, value: &Value, into: &mut BTreeMap<String, Value>) {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (name, value) in table {
                let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                flatten(&key, value, into);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_table) => {
            for (place, value) in items.iter().enumerate() {
                flatten(&format!("{prefix}[{place}]"), value, into);
            }
        }
        value => drop(into.insert(prefix.to_string(), as_fraction(value.clone()))),
    }
}

fn as_fraction(value: Value) -> Value {
    match value {
        Value::Integer(number) => Value::Float(number as f64),
        Value::Array(items) => Value::Array(items.into_iter().map(as_fraction).collect()),
        other => other,
    }
}

/// What was read, under the keys of the file.
struct Read(BTreeMap<String, Value>);

impl Read {
    fn put(&mut self, key: &str, value: impl Into<Value>) {
        assert!(self.0.insert(key.to_string(), as_fraction(value.into())).is_none(), "{key} twice");
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
fn every_key_of_a_scenario_is_read_into_its_own_place() {
    let text = all_keys();
    let scenario = Scenario::parse(PathBuf::from("all.toml"), &text, &[]).unwrap_or_else(|e| panic!("{e}"));
    let mut written = BTreeMap::new();
    flatten("", &Value::Table(toml::from_str(&text).expect("TOML")), &mut written);
    let mut read = Read(BTreeMap::new());
    whole(&scenario, &mut read);
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

fn whole(s: &Scenario, read: &mut Read) {
    read.put("name", s.name.clone());
    read.put("about", s.about.clone());
    read.put("seed", s.seed as i64);
    read.put("length_s", s.length_s);
    read.put("warm_up_s", s.warm_up_s);
    let c = &s.counter;
    read.numbers(
        "counter",
        [
            ("per_s", c.per_s),
            ("latency_ms", c.latency_ms),
            ("queue_ms", c.queue_ms),
            ("timeout_ms", c.timeout_ms),
        ],
    );
    read.ranges("discovery", [("notice_s", s.discovery.notice_s), ("add_s", s.discovery.add_s)]);
    read.put("net.zones", s.net.zones.clone());
    let n = &s.net;
    read.numbers(
        "net",
        [("same_ms", n.same_ms), ("cross_ms", n.cross_ms), ("client_ms", n.client_ms), ("jitter", n.jitter)],
    );
    for (key, bound) in &s.expect.0 {
        read.put(&format!("expect.{key}"), *bound);
    }
}

fn load(s: &Scenario, read: &mut Read) {
    let l = &s.load;
    read.numbers(
        "load",
        [
            ("per_s", l.per_s),
            ("full", l.full),
            ("heavy", l.heavy),
            ("spiky", l.spiky),
            ("skew", l.skew),
            ("retries", l.retries.into()),
            ("backoff_ms", l.backoff_ms),
            ("honour", l.honour),
            ("connections", l.connections as f64),
            ("body_bytes", l.body_bytes as f64),
        ],
    );
    read.ranges(
        "load",
        [
            ("calm_use", l.calm_use),
            ("heavy_x", l.heavy_x),
            ("spike_x", l.spike_x),
            ("spike_s", l.spike_s),
            ("spike_every_s", l.spike_every_s),
            ("spread", [l.spread[0] as f64, l.spread[1] as f64]),
            ("shift_s", l.shift_s),
            ("try_share", l.try_share),
            ("notice_s", l.notice_s),
        ],
    );
}

fn gateways(s: &Scenario, read: &mut Read) {
    let g = &s.gateways;
    read.numbers(
        "gateways",
        [
            ("count", g.count as f64),
            ("memory_mb", g.memory_mb),
            ("sockets", g.sockets as f64),
            ("lend", g.lend),
            ("branches", g.branches as f64),
        ],
    );
    for (name, on) in [("peers", g.peers), ("disks", g.disks), ("rollout", g.rollout)] {
        read.put(&format!("gateways.{name}"), on);
    }
    for (table, lines) in [("ledger", &g.ledger), ("branch", &g.branch)] {
        for (key, value) in lines {
            read.put(&format!("gateways.{table}.{key}"), value.clone());
        }
    }
    for (key, value) in &g.env {
        read.put(&format!("gateways.env.{key}"), value.clone());
    }
    read.put("gateways.second", g.second.iter().map(|n| *n as i64).collect::<Vec<_>>());
}

fn backends(s: &Scenario, read: &mut Read) {
    let b = &s.backends;
    read.numbers(
        "backends",
        [
            ("count", b.count as f64),
            ("cores", b.cores),
            ("slots_per_core", b.slots_per_core),
            ("queue_per_core", b.queue_per_core),
            ("cold_from", b.cold_from),
            ("cold_s", b.cold_s),
            ("fall_multiple", b.fall_multiple),
            ("fall_s", b.fall_s),
            ("error_rate", b.error_rate),
            ("connections_per_core", b.connections_per_core as f64),
            ("handshake_us", b.handshake_us),
            ("idle_s", b.idle_s),
            ("report_ms", b.report_ms),
        ],
    );
    read.ranges("backends", [("speed", b.speed)]);
    read.put("backends.drops_cancelled", b.drops_cancelled);
    read.put("backends.label", b.label.clone());
}

fn plan(table: &str, p: &Plan, read: &mut Read) {
    read.put(&format!("{table}.name"), p.name.clone());
    read.numbers(
        table,
        [
            ("share", p.share),
            ("rate", p.rate),
            ("burst_s", p.burst_s),
            ("price", p.price),
            ("over_cost", p.over_cost),
            ("ceiling", p.ceiling),
        ],
    );
}

fn class(table: &str, c: &Class, read: &mut Read) {
    read.put(&format!("{table}.name"), c.name.clone());
    let effect = match c.effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    };
    read.put(&format!("{table}.effect"), effect);
    read.numbers(
        table,
        [
            ("share", c.share),
            ("work_ms", c.work_ms),
            ("work_cv", c.work_cv),
            ("aim_ms", c.aim_ms),
            ("deadline_ms", c.deadline_ms),
            ("worth", c.worth),
            ("late_worth", c.late_worth),
            ("window_ms", c.window_ms),
        ],
    );
}

fn fault(table: &str, f: &Fault, read: &mut Read) {
    read.put(&format!("{table}.kind"), f.kind.name());
    read.put(&format!("{table}.at_s"), f.at_s);
    let numbers = [
        ("for_s", f.for_s),
        ("delay_ms", f.delay_ms),
        ("jitter_ms", f.jitter_ms),
        ("loss", f.loss),
        ("duplicate", f.duplicate),
        ("reorder", f.reorder),
        ("factor", f.factor),
        ("rate", f.rate),
        ("batch", f.batch),
        ("every_s", f.every_s),
        ("drain_s", f.drain_s),
        ("errors", f.errors),
    ];
    for (name, value) in numbers {
        if let Some(value) = value {
            read.put(&format!("{table}.{name}"), value);
        }
    }
    for (name, range) in [("flap_s", f.flap_s), ("back_s", f.back_s)] {
        if let Some([from, to]) = range {
            read.put(&format!("{table}.{name}"), vec![from, to]);
        }
    }
    for (name, list) in [("who", &f.who), ("with", &f.with), ("plans", &f.plans)] {
        if !list.is_empty() {
            read.put(&format!("{table}.{name}"), list.clone());
        }
    }
    for (name, text) in [("label", &f.label), ("rules", &f.rules)] {
        if let Some(text) = text {
            read.put(&format!("{table}.{name}"), text.clone());
        }
    }
    if let Some(one_way) = f.one_way {
        read.put(&format!("{table}.one_way"), one_way);
    }
}

/// Wrong files, each made from the fixture by one change: what stands there, what takes its place.
const WRONG: &[(&str, &str)] = &[
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
fn wrong_scenario_keys_are_refused_in_the_same_words() {
    let text = all_keys();
    let mut told = String::new();
    for (from, to) in WRONG {
        assert!(text.contains(from), "the fixture lacks {from}");
        let wrong = text.replacen(from, to, 1);
        let problems = Scenario::parse(PathBuf::from("all.toml"), &wrong, &[]).expect_err(to);
        told.push_str(&format!("# {from} -> {to}\n{problems}\n"));
    }
    let path = fixture("scenario-errors.txt");
    if std::env::var_os("WRITE_NEW_FIXTURES").is_some() && !path.exists() {
        std::fs::write(&path, &told).expect("written");
    }
    let held = std::fs::read_to_string(path).expect("the fixture");
    assert_eq!(told, held, "the words for wrong scenarios have changed");
}
