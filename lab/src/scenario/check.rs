//! What is wrong with a scenario, all of it at once: file, line, key, what was expected.

use super::{Fault, Scenario, FIGURES_WITH_BOUNDS};
use crate::fault_targets::Target;
use std::fmt;
use std::path::PathBuf;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The dotted key, where it is known.
    pub key: Option<String>,
    /// What was expected.
    pub what: String,
}

/// All that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    path: PathBuf,
    /// At least one.
    pub list: Vec<Problem>,
}

impl Problems {
    pub(super) fn one(path: PathBuf, line: Option<usize>, key: Option<String>, what: String) -> Problems {
        Problems { path, list: vec![Problem { line, key, what }] }
    }
    pub(super) fn of(path: PathBuf, text: &str, found: Vec<(String, String)>) -> Problems {
        let problem =
            |(key, what): (String, String)| Problem { line: find(text, &key), key: Some(key), what };
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

/// The line, from 1, of a byte of the text.
pub(super) fn line_of(text: &str, byte: usize) -> usize {
    text.bytes().take(byte).filter(|b| *b == b'\n').count() + 1
}

/// The key that begins the line of a byte of the text.
pub(super) fn key_at(text: &str, byte: usize) -> Option<String> {
    let line = text.lines().nth(line_of(text, byte) - 1)?;
    line.split_once('=').map(|(key, _)| key.trim().to_string())
}

/// The line where a dotted key such as `fault[1].rate` stands, or its table.
fn find(text: &str, key: &str) -> Option<usize> {
    let (table, last) = key.rsplit_once('.').unwrap_or(("", key));
    let (name, index) = match table.split_once('[') {
        Some((name, rest)) => (name, rest.trim_end_matches(']').parse().ok()?),
        None => (table, 0),
    };
    let mut at = None;
    let mut seen = 0;
    let mut inside = name.is_empty();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            let here = line.trim_start_matches('[').trim_end_matches(']').trim() == name;
            inside = here && seen == index;
            seen += usize::from(here);
            if inside {
                at = Some(i + 1);
            }
        } else if inside && line.split_once('=').is_some_and(|(key, _)| key.trim() == last) {
            return Some(i + 1);
        }
    }
    at
}

/// Collects problems by key.
struct Checker(Vec<(String, String)>);

impl Checker {
    fn say(&mut self, key: impl Into<String>, what: impl Into<String>) {
        self.0.push((key.into(), what.into()));
    }
    fn within(&mut self, key: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.say(key, format!("expected {least} to {most}, found {value}"));
        }
    }
    fn range(&mut self, key: &str, [from, to]: [f64; 2], least: f64, most: f64) {
        if !(from >= least && to >= from && to <= most) {
            self.say(key, format!("expected [from, to] within {least} to {most}, found [{from}, {to}]"));
        }
    }
    fn some(&mut self, key: &str, value: Option<f64>, least: f64, most: f64) {
        if let Some(value) = value {
            self.within(key, value, least, most);
        }
    }
}

/// All that is wrong, as keys and what was expected.
pub(super) fn check(s: &Scenario) -> Vec<(String, String)> {
    let mut c = Checker(Vec::new());
    if s.name.is_empty() || !s.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
        c.say("name", "expected letters, digits and dashes");
    }
    if s.about.trim().is_empty() {
        c.say("about", "expected a sentence that says what this scenario shows");
    }
    c.within("length_s", s.length_s, 1.0, 3600.0);
    c.within("gateways.branches", s.gateways.branches as f64, 1.0, s.gateways.count as f64);
    c.within("warm_up_s", s.warm_up_s, 0.0, s.length_s.max(0.0));
    load(s, &mut c);
    gateways(s, &mut c);
    backends(s, &mut c);
    counter_and_discovery(s, &mut c);
    network(s, &mut c);
    class_and_plan_counts(s, &mut c);
    classes(s, &mut c);
    plans(s, &mut c);
    for (number, fault) in s.faults.iter().enumerate() {
        check_fault(s, number, fault, &mut c);
    }
    expectations(s, &mut c);
    c.0
}

fn expectations(s: &Scenario, c: &mut Checker) {
    for (key, value) in &s.expect.0 {
        let figure = key.strip_suffix("_min").or_else(|| key.strip_suffix("_max"));
        if !figure.is_some_and(|figure| FIGURES_WITH_BOUNDS.contains(&figure)) {
            let known = FIGURES_WITH_BOUNDS.join(", ");
            c.say(format!("expect.{key}"), format!("expected one of {known} with _min or _max behind it"));
        }
        if !value.is_finite() {
            c.say(format!("expect.{key}"), "expected a finite number");
        }
    }
}

fn load(s: &Scenario, c: &mut Checker) {
    let l = &s.load;
    c.within("load.per_s", l.per_s, 0.1, 20_000.0);
    c.within("load.per_s", l.per_s * s.length_s, 1.0, 2_000_000.0);
    c.range("load.calm_use", l.calm_use, 0.01, 1.0);
    for (key, part) in [("load.full", l.full), ("load.heavy", l.heavy), ("load.spiky", l.spiky)] {
        c.within(key, part, 0.0, 1.0);
    }
    c.within("load.full", l.full + l.heavy + l.spiky, 0.0, 1.0);
    c.range("load.heavy_x", l.heavy_x, 0.1, 100.0);
    c.range("load.spike_x", l.spike_x, 0.1, 100.0);
    c.range("load.spike_s", l.spike_s, 0.1, 3600.0);
    c.range("load.spike_every_s", l.spike_every_s, 0.1, 3600.0);
    c.range("load.shift_s", l.shift_s, 0.1, 3600.0);
    c.within("load.skew", l.skew, 0.0, 5.0);
    c.within("load.backoff_ms", l.backoff_ms, 0.0, 60_000.0);
    c.within("load.retries", l.retries.into(), 0.0, 10.0);
    c.within("load.honour", l.honour, 0.0, 1.0);
    c.range("load.try_share", l.try_share, 0.05, 1.0);
    c.range("load.notice_s", l.notice_s, 0.0, 60.0);
    c.within("load.connections", l.connections as f64, 1.0, 4096.0);
    c.within("load.body_bytes", l.body_bytes as f64, 0.0, 65_536.0);
    let spread = [l.spread[0] as f64, l.spread[1] as f64];
    c.range("load.spread", spread, 1.0, s.gateways.count as f64);
}

fn gateways(s: &Scenario, c: &mut Checker) {
    c.within("gateways.count", s.gateways.count as f64, 1.0, 200.0);
    c.within("gateways.memory_mb", s.gateways.memory_mb, 4.0, 4096.0);
    c.within("gateways.sockets", s.gateways.sockets as f64, 32.0, 65_536.0);
    let second = s.gateways.second.iter().enumerate();
    for (item, number) in second.filter(|(_, number)| **number >= s.gateways.count) {
        c.say("gateways.second", format!("item {item}: there is no gateway {number}"));
    }
}

fn backends(s: &Scenario, c: &mut Checker) {
    let b = &s.backends;
    c.within("backends.count", b.count as f64, 1.0, 3200.0);
    c.within("gateways.count", (b.count * s.gateways.count) as f64, 1.0, 8000.0);
    c.within("backends.cores", b.cores, 0.1, 128.0);
    c.range("backends.speed", b.speed, 0.01, 100.0);
    c.within("backends.slots_per_core", b.slots_per_core, 0.5, 1000.0);
    c.within("backends.queue_per_core", b.queue_per_core, 0.0, 10_000.0);
    c.within("backends.cold_from", b.cold_from, 0.01, 1.0);
    c.within("backends.cold_s", b.cold_s, 0.0, 600.0);
    c.within("backends.fall_multiple", b.fall_multiple, 1.0, 100.0);
    c.within("backends.fall_s", b.fall_s, 0.1, 60.0);
    c.within("backends.error_rate", b.error_rate, 0.0, 1.0);
    c.within("backends.connections_per_core", b.connections_per_core as f64, 1.0, 10_000.0);
    c.within("backends.handshake_us", b.handshake_us, 0.0, 100_000.0);
    c.within("backends.idle_s", b.idle_s, 0.5, 600.0);
    c.within("backends.report_ms", b.report_ms, 1.0, 60_000.0);
}

fn counter_and_discovery(s: &Scenario, c: &mut Checker) {
    c.within("counter.per_s", s.counter.per_s, 0.0, 1_000_000.0);
    c.within("counter.latency_ms", s.counter.latency_ms, 0.0, 10_000.0);
    c.within("counter.queue_ms", s.counter.queue_ms, 0.0, 10_000.0);
    c.within("counter.timeout_ms", s.counter.timeout_ms, 1.0, 10_000.0);
    c.range("discovery.notice_s", s.discovery.notice_s, 0.0, 60.0);
    c.range("discovery.add_s", s.discovery.add_s, 0.0, 60.0);
}

fn network(s: &Scenario, c: &mut Checker) {
    if s.net.zones.is_empty() || s.net.zones.len() > 16 {
        c.say("net.zones", "expected 1 to 16 names");
    }
    for (key, ms) in
        [("net.same_ms", s.net.same_ms), ("net.cross_ms", s.net.cross_ms), ("net.client_ms", s.net.client_ms)]
    {
        c.within(key, ms, 0.0, 1000.0);
    }
    c.within("net.jitter", s.net.jitter, 0.0, 10.0);
}

fn class_and_plan_counts(s: &Scenario, c: &mut Checker) {
    if s.classes.is_empty() || s.classes.len() > 64 {
        c.say("class", "expected 1 to 64 classes");
    }
    if s.plans.is_empty() || s.plans.len() > 64 {
        c.say("plan", "expected 1 to 64 plans");
    }
}

fn classes(s: &Scenario, c: &mut Checker) {
    for (i, class) in s.classes.iter().enumerate() {
        let key = |name: &str| format!("class[{i}].{name}");
        c.within(&key("share"), class.share, 0.0, 1.0);
        c.within(&key("work_ms"), class.work_ms, 0.01, 60_000.0);
        c.within(&key("work_cv"), class.work_cv, 0.0, 10.0);
        c.within(&key("aim_ms"), class.aim_ms, 1.0, 600_000.0);
        c.within(&key("deadline_ms"), class.deadline_ms, class.aim_ms, 600_000.0);
        c.within(&key("worth"), class.worth, 0.0, 1e6);
        c.within(&key("late_worth"), class.late_worth, 0.0, 1.0);
        c.within(&key("window_ms"), class.window_ms, 0.0, 600_000.0);
    }
}

fn plans(s: &Scenario, c: &mut Checker) {
    for (i, plan) in s.plans.iter().enumerate() {
        let key = |name: &str| format!("plan[{i}].{name}");
        c.within(&key("share"), plan.share, 0.0, 1.0);
        c.within(&key("rate"), plan.rate, 0.01, 1e6);
        c.within(&key("burst_s"), plan.burst_s, 0.1, 3600.0);
        c.within(&key("price"), plan.price, 0.0, 1e6);
        c.within(&key("over_cost"), plan.over_cost, 0.0, 100.0);
        c.within(&key("ceiling"), plan.ceiling, 0.0, 100.0);
        // A burst must let the largest requests through.
        c.within(&key("burst_s"), plan.rate * plan.burst_s, 12.0, f64::INFINITY);
    }
}

fn check_fault(s: &Scenario, number: usize, fault: &Fault, c: &mut Checker) {
    check_fault_keys(number, fault, c);
    check_fault_values(s, number, fault, c);
    check_fault_targets(s, number, fault, c);
}

/// The dotted key of a fault's value.
fn fault_key(number: usize, name: &str) -> String {
    format!("fault[{number}].{name}")
}

/// Each kind of fault needs some keys, takes some further ones, and no others.
fn check_fault_keys(number: usize, fault: &Fault, c: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    let (needed, further) = fault.kind.keys();
    let set = fault.set_keys();
    for name in needed.iter().filter(|name| !set.contains(name)) {
        c.say(key(name), format!("expected a value, as kind '{}' needs one", fault.kind.name()));
    }
    for name in set.iter().filter(|name| !needed.contains(name) && !further.contains(name)) {
        let takes = [needed, further].concat().join(", ");
        c.say(key(name), format!("kind '{}' takes {takes} and not this", fault.kind.name()));
    }
}

fn check_fault_values(s: &Scenario, number: usize, fault: &Fault, c: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    c.within(&key("at_s"), fault.at_s, 0.0, s.length_s);
    c.some(&key("for_s"), fault.for_s, 0.05, 3600.0);
    for (name, range) in [("flap_s", fault.flap_s), ("back_s", fault.back_s)] {
        if let Some([a, b]) = range {
            c.within(&key(name), a, 0.0, 3600.0);
            c.within(&key(name), b, if name == "flap_s" { 0.05 } else { a }, 3600.0);
        }
    }
    c.some(&key("flap_s"), fault.flap_s.map(|f| f[0]), 0.05, 3600.0);
    for (name, ms) in [("delay_ms", fault.delay_ms), ("jitter_ms", fault.jitter_ms)] {
        c.some(&key(name), ms, 0.0, 60_000.0);
    }
    for (name, part) in [
        ("loss", fault.loss),
        ("duplicate", fault.duplicate),
        ("reorder", fault.reorder),
        ("rate", fault.rate),
        ("errors", fault.errors),
    ] {
        c.some(&key(name), part, 0.0, 1.0);
    }
    c.some(&key("batch"), fault.batch, 0.001, 1.0);
    c.some(&key("every_s"), fault.every_s, 0.05, 3600.0);
    c.some(&key("drain_s"), fault.drain_s, 0.0, 600.0);
    c.some(&key("factor"), fault.factor, 0.001, 1000.0);
}

fn check_fault_targets(s: &Scenario, number: usize, fault: &Fault, c: &mut Checker) {
    let key = |name: &str| fault_key(number, name);
    for (name, list) in [("who", &fault.who), ("with", &fault.with)] {
        for text in list {
            if let Err(what) = Target::read(text, s) {
                c.say(key(name), what);
            }
        }
    }
    for plan in fault.plans.iter().filter(|plan| !s.plans.iter().any(|p| &p.name == *plan)) {
        c.say(key("plans"), format!("there is no plan '{plan}'"));
    }
}
