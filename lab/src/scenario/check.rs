//! Validates a scenario and reports all problems at once, each with file, line, key and what was expected.

use super::{Fault, Scenario, FIGURES_WITH_BOUNDS};
use crate::fault_targets::Target;
use std::fmt;
use std::path::PathBuf;

/// One problem of a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line number from 1, if known.
    pub line: Option<usize>,
    /// Dotted key, if known.
    pub key: Option<String>,
    /// Description of the problem, usually of what was expected.
    pub what: String,
}

/// All problems of a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    path: PathBuf,
    /// Problems in the order found; never empty.
    pub list: Vec<Problem>,
}

impl Problems {
    pub(super) fn single(path: PathBuf, line: Option<usize>, key: Option<String>, what: String) -> Problems {
        Problems { path, list: vec![Problem { line, key, what }] }
    }
    pub(super) fn with_lines(path: PathBuf, text: &str, found: Vec<(String, String)>) -> Problems {
        let problem =
            |(key, what): (String, String)| Problem { line: find_line(text, &key), key: Some(key), what };
        Problems { path, list: found.into_iter().map(problem).collect() }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:", self.path.display())?;
            if let Some(line) = problem.line {
                write!(f, "{line}:")?;
            }
            if let Some(key) = &problem.key {
                write!(f, " {key}:")?;
            }
            write!(f, " {}", problem.what.trim().replace('\n', " "))?;
        }
        Ok(())
    }
}
impl std::error::Error for Problems {}

/// Returns the line number, from 1, of a byte offset in the text.
pub(super) fn line_of(text: &str, byte: usize) -> usize {
    text.bytes().take(byte).filter(|byte| *byte == b'\n').count() + 1
}

/// Returns the key at the start of the line that contains a byte offset of the text.
pub(super) fn key_at(text: &str, byte: usize) -> Option<String> {
    let line = text.lines().nth(line_of(text, byte) - 1)?;
    line.split_once('=').map(|(key, _)| key.trim().to_string())
}

/// Returns the line number of a dotted key such as `fault[1].rate`, or of its table if the key is absent.
fn find_line(text: &str, key: &str) -> Option<usize> {
    let (table, last_key) = key.rsplit_once('.').unwrap_or(("", key));
    let (name, index) = match table.split_once('[') {
        Some((name, rest)) => (name, rest.trim_end_matches(']').parse().ok()?),
        None => (table, 0),
    };
    let mut table_line = None;
    let mut seen = 0;
    let mut inside = name.is_empty();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let is_named = line.trim_start_matches('[').trim_end_matches(']').trim() == name;
            inside = is_named && seen == index;
            seen += usize::from(is_named);
            if inside {
                table_line = Some(i + 1);
            }
        } else if inside && line.split_once('=').is_some_and(|(key, _)| key.trim() == last_key) {
            return Some(i + 1);
        }
    }
    table_line
}

/// Collects problems as pairs of key and description.
struct Checker(Vec<(String, String)>);

impl Checker {
    fn add(&mut self, key: impl Into<String>, what: impl Into<String>) {
        self.0.push((key.into(), what.into()));
    }
    fn check_value(&mut self, key: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.add(key, format!("expected {least} to {most}, found {value}"));
        }
    }
    fn check_range(&mut self, key: &str, [from, to]: [f64; 2], least: f64, most: f64) {
        if !(from >= least && to >= from && to <= most) {
            self.add(key, format!("expected [from, to] within {least} to {most}, found [{from}, {to}]"));
        }
    }
    fn check_optional(&mut self, key: &str, value: Option<f64>, least: f64, most: f64) {
        if let Some(value) = value {
            self.check_value(key, value, least, most);
        }
    }
}

/// Returns all problems of a scenario as pairs of key and description.
pub(super) fn check(scenario: &Scenario) -> Vec<(String, String)> {
    let mut checker = Checker(Vec::new());
    if scenario.name.is_empty()
        || !scenario.name.chars().all(|character| character.is_ascii_alphanumeric() || character == '-')
    {
        checker.add("name", "expected letters, digits and dashes");
    }
    if scenario.about.trim().is_empty() {
        checker.add("about", "expected a sentence that says what this scenario shows");
    }
    checker.check_value("length_s", scenario.length_s, 1.0, 3600.0);
    checker.check_value(
        "gateways.branches",
        scenario.gateways.branches as f64,
        1.0,
        scenario.gateways.count as f64,
    );
    checker.check_value("warm_up_s", scenario.warm_up_s, 0.0, scenario.length_s.max(0.0));
    load(scenario, &mut checker);
    gateways(scenario, &mut checker);
    backends(scenario, &mut checker);
    counter_and_discovery(scenario, &mut checker);
    network(scenario, &mut checker);
    class_and_plan_counts(scenario, &mut checker);
    classes(scenario, &mut checker);
    plans(scenario, &mut checker);
    for (number, fault) in scenario.faults.iter().enumerate() {
        check_fault(scenario, number, fault, &mut checker);
    }
    expectations(scenario, &mut checker);
    checker.0
}

fn expectations(scenario: &Scenario, checker: &mut Checker) {
    for (key, value) in &scenario.expect.0 {
        let figure = key.strip_suffix("_min").or_else(|| key.strip_suffix("_max"));
        if !figure.is_some_and(|figure| FIGURES_WITH_BOUNDS.contains(&figure)) {
            let known = FIGURES_WITH_BOUNDS.join(", ");
            checker
                .add(format!("expect.{key}"), format!("expected one of {known} with _min or _max behind it"));
        }
        if !value.is_finite() {
            checker.add(format!("expect.{key}"), "expected a finite number");
        }
    }
}

fn load(scenario: &Scenario, checker: &mut Checker) {
    let load = &scenario.load;
    checker.check_value("load.per_s", load.per_s, 0.1, 20_000.0);
    checker.check_value("load.per_s", load.per_s * scenario.length_s, 1.0, 2_000_000.0);
    checker.check_range("load.calm_use", load.calm_use, 0.01, 1.0);
    for (key, fraction) in [("load.full", load.full), ("load.heavy", load.heavy), ("load.spiky", load.spiky)]
    {
        checker.check_value(key, fraction, 0.0, 1.0);
    }
    checker.check_value("load.full", load.full + load.heavy + load.spiky, 0.0, 1.0);
    checker.check_range("load.heavy_x", load.heavy_x, 0.1, 100.0);
    checker.check_range("load.spike_x", load.spike_x, 0.1, 100.0);
    checker.check_range("load.spike_s", load.spike_s, 0.1, 3600.0);
    checker.check_range("load.spike_every_s", load.spike_every_s, 0.1, 3600.0);
    checker.check_range("load.shift_s", load.shift_s, 0.1, 3600.0);
    checker.check_value("load.skew", load.skew, 0.0, 5.0);
    checker.check_value("load.backoff_ms", load.backoff_ms, 0.0, 60_000.0);
    checker.check_value("load.retries", load.retries.into(), 0.0, 10.0);
    checker.check_value("load.honour", load.honour, 0.0, 1.0);
    checker.check_range("load.try_share", load.try_share, 0.05, 1.0);
    checker.check_range("load.notice_s", load.notice_s, 0.0, 60.0);
    checker.check_value("load.connections", load.connections as f64, 1.0, 4096.0);
    checker.check_value("load.body_bytes", load.body_bytes as f64, 0.0, 65_536.0);
    let spread = [load.spread[0] as f64, load.spread[1] as f64];
    checker.check_range("load.spread", spread, 1.0, scenario.gateways.count as f64);
}

fn gateways(scenario: &Scenario, checker: &mut Checker) {
    checker.check_value("gateways.count", scenario.gateways.count as f64, 1.0, 200.0);
    checker.check_value("gateways.memory_mb", scenario.gateways.memory_mb, 4.0, 4096.0);
    checker.check_value("gateways.sockets", scenario.gateways.sockets as f64, 32.0, 65_536.0);
    let second = scenario.gateways.second.iter().enumerate();
    for (item, number) in second.filter(|(_, number)| **number >= scenario.gateways.count) {
        checker.add("gateways.second", format!("item {item}: there is no gateway {number}"));
    }
}

fn backends(scenario: &Scenario, checker: &mut Checker) {
    let backends = &scenario.backends;
    checker.check_value("backends.count", backends.count as f64, 1.0, 3200.0);
    checker.check_value("gateways.count", (backends.count * scenario.gateways.count) as f64, 1.0, 8000.0);
    checker.check_value("backends.cores", backends.cores, 0.1, 128.0);
    checker.check_range("backends.speed", backends.speed, 0.01, 100.0);
    checker.check_value("backends.slots_per_core", backends.slots_per_core, 0.5, 1000.0);
    checker.check_value("backends.queue_per_core", backends.queue_per_core, 0.0, 10_000.0);
    checker.check_value("backends.cold_from", backends.cold_from, 0.01, 1.0);
    checker.check_value("backends.cold_s", backends.cold_s, 0.0, 600.0);
    checker.check_value("backends.fall_multiple", backends.fall_multiple, 1.0, 100.0);
    checker.check_value("backends.fall_s", backends.fall_s, 0.1, 60.0);
    checker.check_value("backends.error_rate", backends.error_rate, 0.0, 1.0);
    checker.check_value("backends.connections_per_core", backends.connections_per_core as f64, 1.0, 10_000.0);
    checker.check_value("backends.handshake_us", backends.handshake_us, 0.0, 100_000.0);
    checker.check_value("backends.idle_s", backends.idle_s, 0.5, 600.0);
    checker.check_value("backends.report_ms", backends.report_ms, 1.0, 60_000.0);
}

fn counter_and_discovery(scenario: &Scenario, checker: &mut Checker) {
    checker.check_value("counter.per_s", scenario.counter.per_s, 0.0, 1_000_000.0);
    checker.check_value("counter.latency_ms", scenario.counter.latency_ms, 0.0, 10_000.0);
    checker.check_value("counter.queue_ms", scenario.counter.queue_ms, 0.0, 10_000.0);
    checker.check_value("counter.timeout_ms", scenario.counter.timeout_ms, 1.0, 10_000.0);
    checker.check_range("discovery.notice_s", scenario.discovery.notice_s, 0.0, 60.0);
    checker.check_range("discovery.add_s", scenario.discovery.add_s, 0.0, 60.0);
}

fn network(scenario: &Scenario, checker: &mut Checker) {
    if scenario.net.zones.is_empty() || scenario.net.zones.len() > 16 {
        checker.add("net.zones", "expected 1 to 16 names");
    }
    for (key, ms) in [
        ("net.same_ms", scenario.net.same_ms),
        ("net.cross_ms", scenario.net.cross_ms),
        ("net.client_ms", scenario.net.client_ms),
    ] {
        checker.check_value(key, ms, 0.0, 1000.0);
    }
    checker.check_value("net.jitter", scenario.net.jitter, 0.0, 10.0);
}

fn class_and_plan_counts(scenario: &Scenario, checker: &mut Checker) {
    if scenario.classes.is_empty() || scenario.classes.len() > 64 {
        checker.add("class", "expected 1 to 64 classes");
    }
    if scenario.plans.is_empty() || scenario.plans.len() > 64 {
        checker.add("plan", "expected 1 to 64 plans");
    }
}

fn classes(scenario: &Scenario, checker: &mut Checker) {
    for (i, class) in scenario.classes.iter().enumerate() {
        let key = |name: &str| format!("class[{i}].{name}");
        checker.check_value(&key("share"), class.share, 0.0, 1.0);
        checker.check_value(&key("work_ms"), class.work_ms, 0.01, 60_000.0);
        checker.check_value(&key("work_cv"), class.work_cv, 0.0, 10.0);
        checker.check_value(&key("aim_ms"), class.aim_ms, 1.0, 600_000.0);
        checker.check_value(&key("deadline_ms"), class.deadline_ms, class.aim_ms, 600_000.0);
        checker.check_value(&key("worth"), class.worth, 0.0, 1e6);
        checker.check_value(&key("late_worth"), class.late_worth, 0.0, 1.0);
        checker.check_value(&key("window_ms"), class.window_ms, 0.0, 600_000.0);
    }
}

fn plans(scenario: &Scenario, checker: &mut Checker) {
    for (i, plan) in scenario.plans.iter().enumerate() {
        let key = |name: &str| format!("plan[{i}].{name}");
        checker.check_value(&key("share"), plan.share, 0.0, 1.0);
        checker.check_value(&key("rate"), plan.rate, 0.01, 1e6);
        checker.check_value(&key("burst_s"), plan.burst_s, 0.1, 3600.0);
        checker.check_value(&key("price"), plan.price, 0.0, 1e6);
        checker.check_value(&key("over_cost"), plan.over_cost, 0.0, 100.0);
        checker.check_value(&key("ceiling"), plan.ceiling, 0.0, 100.0);
        // A burst must admit the largest requests.
        checker.check_value(&key("burst_s"), plan.rate * plan.burst_s, 12.0, f64::INFINITY);
    }
}

fn check_fault(scenario: &Scenario, number: usize, fault: &Fault, checker: &mut Checker) {
    check_fault_keys(number, fault, checker);
    check_fault_values(scenario, number, fault, checker);
    check_fault_targets(scenario, number, fault, checker);
}

/// Returns the dotted key of a value of a fault.
fn fault_key(number: usize, name: &str) -> String {
    format!("fault[{number}].{name}")
}

/// Checks that a fault has the required keys of its kind and no keys that the kind does not take.
fn check_fault_keys(number: usize, fault: &Fault, checker: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    let (needed, further) = fault.kind.keys();
    let set = fault.set_keys();
    for name in needed.iter().filter(|name| !set.contains(name)) {
        checker.add(key(name), format!("expected a value, as kind '{}' needs one", fault.kind.name()));
    }
    for name in set.iter().filter(|name| !needed.contains(name) && !further.contains(name)) {
        let takes = [needed, further].concat().join(", ");
        checker.add(key(name), format!("kind '{}' takes {takes} and not this", fault.kind.name()));
    }
}

fn check_fault_values(scenario: &Scenario, number: usize, fault: &Fault, checker: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    checker.check_value(&key("at_s"), fault.at_s, 0.0, scenario.length_s);
    checker.check_optional(&key("for_s"), fault.for_s, 0.05, 3600.0);
    for (name, range) in [("flap_s", fault.flap_s), ("back_s", fault.back_s)] {
        if let Some([from, to]) = range {
            checker.check_value(&key(name), from, 0.0, 3600.0);
            checker.check_value(&key(name), to, if name == "flap_s" { 0.05 } else { from }, 3600.0);
        }
    }
    checker.check_optional(&key("flap_s"), fault.flap_s.map(|flap_s| flap_s[0]), 0.05, 3600.0);
    for (name, ms) in [("delay_ms", fault.delay_ms), ("jitter_ms", fault.jitter_ms)] {
        checker.check_optional(&key(name), ms, 0.0, 60_000.0);
    }
    for (name, fraction) in [
        ("loss", fault.loss),
        ("duplicate", fault.duplicate),
        ("reorder", fault.reorder),
        ("rate", fault.rate),
        ("errors", fault.errors),
    ] {
        checker.check_optional(&key(name), fraction, 0.0, 1.0);
    }
    checker.check_optional(&key("batch"), fault.batch, 0.001, 1.0);
    checker.check_optional(&key("every_s"), fault.every_s, 0.05, 3600.0);
    checker.check_optional(&key("drain_s"), fault.drain_s, 0.0, 600.0);
    checker.check_optional(&key("factor"), fault.factor, 0.001, 1000.0);
}

fn check_fault_targets(scenario: &Scenario, number: usize, fault: &Fault, checker: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    for (name, list) in [("who", &fault.who), ("with", &fault.with)] {
        for text in list {
            if let Err(what) = Target::read(text, scenario) {
                checker.add(key(name), what);
            }
        }
    }
    for plan in fault.plans.iter().filter(|plan| !scenario.plans.iter().any(|known| &known.name == *plan)) {
        checker.add(key("plans"), format!("there is no plan '{plan}'"));
    }
}
