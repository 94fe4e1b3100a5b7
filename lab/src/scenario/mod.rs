//! Scenario files, which define the runs: read from TOML, with unknown keys rejected.

mod check;
mod fault;
mod parts;

pub use check::{Problem, Problems};
pub use fault::{Fault, Kind};
pub use parts::{
    Backends, Class, Counter, Discovery, Effect, Expect, Gateways, Load, Network, Plan, FIGURES_WITH_BOUNDS,
};

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// A validated scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Short name, also used for the files of the report.
    pub name: String,
    /// What the scenario shows and why, in one or two sentences.
    pub about: String,
    /// Seed of all random choices, unless the command line gives one.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the arrivals in seconds: 1 to 3,600.
    pub length_s: f64,
    /// Seconds at the start that no figure includes, so that pools and windows fill first. Rules are checked then too.
    #[serde(default = "default_warm_up_s")]
    pub warm_up_s: f64,
    /// Load from clients.
    #[serde(default)]
    pub load: Load,
    /// Plans of the customers.
    #[serde(default = "parts::default_plans", rename = "plan")]
    pub plans: Vec<Plan>,
    /// Classes of requests.
    #[serde(default = "parts::default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Gateway processes.
    #[serde(default)]
    pub gateways: Gateways,
    /// Backends behind the gateways.
    #[serde(default)]
    pub backends: Backends,
    /// Shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// Delays of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Zones and the network between them.
    #[serde(default)]
    pub net: Network,
    /// Faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Bounds on the figures.
    #[serde(default)]
    pub expect: Expect,
}

fn default_seed() -> u64 {
    1
}
fn default_warm_up_s() -> f64 {
    2.0
}

/// An override of a scenario value: a dotted key such as `gateways.count` and a TOML value.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// Dotted key.
    pub key: String,
    /// Value, as written in a scenario file.
    pub value: String,
}

impl Scenario {
    /// Reads a scenario file, applies `settings` and validates the result.
    pub fn load(path: &Path, settings: &[Setting]) -> Result<Scenario, Problems> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            Problems::single(path.to_path_buf(), None, None, format!("can't be read: {error}"))
        })?;
        Scenario::parse(path.to_path_buf(), &text, settings)
    }

    /// Parses the text of a scenario; problems are reported with `path`.
    pub fn parse(path: PathBuf, text: &str, settings: &[Setting]) -> Result<Scenario, Problems> {
        let changed;
        let text = match settings {
            [] => text,
            _ => {
                changed = apply_settings(&path, text, settings)?;
                &changed
            }
        };
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error.span().map(|span| check::line_of(text, span.start));
            let key = error.span().and_then(|span| check::key_at(text, span.start));
            Problems::single(path.clone(), line, key, error.message().to_string())
        })?;
        let found = check::check(&scenario);
        match found.is_empty() {
            true => Ok(scenario),
            false => Err(Problems::with_lines(path, text, found)),
        }
    }

    /// Returns the number of zones, which is at least 1.
    pub fn zones(&self) -> usize {
        self.net.zones.len()
    }
}

/// Returns the text with the settings applied.
fn apply_settings(path: &Path, text: &str, settings: &[Setting]) -> Result<String, Problems> {
    let setting_problem =
        |key: &str, what: String| Problems::single(path.to_path_buf(), None, Some(key.to_string()), what);
    let mut table: toml::Table = toml::from_str(text).map_err(|error| {
        let line = error.span().map(|span| check::line_of(text, span.start));
        Problems::single(path.to_path_buf(), line, None, error.message().to_string())
    })?;
    for Setting { key, value } in settings {
        let parsed = toml::from_str::<toml::Table>(&format!("value = {value}"));
        let value = match parsed {
            Ok(mut parsed) => parsed.remove("value").unwrap_or(toml::Value::String(value.clone())),
            Err(_) => toml::Value::String(value.clone()),
        };
        let mut steps: Vec<&str> = key.split('.').collect();
        let last_key = steps.pop().unwrap_or_default();
        let mut current = &mut table;
        for step in steps {
            let (name, index) = match step.split_once('[') {
                Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
                None => (step, None),
            };
            let next = current.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
            let next = match (next, index) {
                (toml::Value::Array(items), Some(index)) => items.get_mut(index),
                (next, None) => Some(next),
                _ => None,
            };
            current = next
                .and_then(toml::Value::as_table_mut)
                .ok_or_else(|| setting_problem(key, format!("'{step}' is no table here")))?;
        }
        current.insert(last_key.to_string(), value);
    }
    toml::to_string(&table).map_err(|error| setting_problem("", error.to_string()))
}
