//! Scenario files: what a run is made of, read from TOML with every unknown key refused.

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

/// One scenario, checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its short name, also of the report's files.
    pub name: String,
    /// What it shows and why, in a sentence or two.
    pub about: String,
    /// The seed of every choice where the command line names none.
    #[serde(default = "first_seed")]
    pub seed: u64,
    /// How long requests arrive, in seconds: 1 to 3,600.
    pub length_s: f64,
    /// Seconds from the start that no figure counts, so that pools and windows fill. Rules hold there too.
    #[serde(default = "two")]
    pub warm_up_s: f64,
    /// What clients ask for.
    #[serde(default)]
    pub load: Load,
    /// The plans of the customers.
    #[serde(default = "parts::plans", rename = "plan")]
    pub plans: Vec<Plan>,
    /// The classes of requests.
    #[serde(default = "parts::classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The processes of the program.
    #[serde(default)]
    pub gateways: Gateways,
    /// The servers behind them.
    #[serde(default)]
    pub backends: Backends,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// How the list of backends is told.
    #[serde(default)]
    pub discovery: Discovery,
    /// Zones and the ways between them.
    #[serde(default)]
    pub net: Network,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Bounds that the figures are held to.
    #[serde(default)]
    pub expect: Expect,
}

fn first_seed() -> u64 {
    1
}
fn two() -> f64 {
    2.0
}

/// Settings that take the place of a scenario's own: a dotted key such as `gateways.count` and a TOML value.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// The dotted key.
    pub key: String,
    /// The value, as it would stand in the file.
    pub value: String,
}

impl Scenario {
    /// Reads a scenario file, with some values replaced, and checks it whole.
    pub fn load(path: &Path, settings: &[Setting]) -> Result<Scenario, Problems> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Problems::one(path.to_path_buf(), None, None, format!("can't be read: {e}")))?;
        Scenario::parse(path.to_path_buf(), &text, settings)
    }

    /// Reads a scenario's text; `path` is named in the problems found.
    pub fn parse(path: PathBuf, text: &str, settings: &[Setting]) -> Result<Scenario, Problems> {
        let changed;
        let text = match settings {
            [] => text,
            _ => {
                changed = with_settings(&path, text, settings)?;
                &changed
            }
        };
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|span| check::line_of(text, span.start));
            let key = e.span().and_then(|span| check::key_at(text, span.start));
            Problems::one(path.clone(), line, key, e.message().to_string())
        })?;
        let found = check::check(&scenario);
        match found.is_empty() {
            true => Ok(scenario),
            false => Err(Problems::of(path, text, found)),
        }
    }

    /// The zones, at least one.
    pub fn zones(&self) -> usize {
        self.net.zones.len()
    }
}

/// The text with the settings in their places.
fn with_settings(path: &Path, text: &str, settings: &[Setting]) -> Result<String, Problems> {
    let bad = |key: &str, what: String| Problems::one(path.to_path_buf(), None, Some(key.to_string()), what);
    let mut table: toml::Table = toml::from_str(text).map_err(|e| {
        let line = e.span().map(|span| check::line_of(text, span.start));
        Problems::one(path.to_path_buf(), line, None, e.message().to_string())
    })?;
    for Setting { key, value } in settings {
        let read = toml::from_str::<toml::Table>(&format!("value = {value}"));
        let value = match read {
            Ok(mut read) => read.remove("value").unwrap_or(toml::Value::String(value.clone())),
            Err(_) => toml::Value::String(value.clone()),
        };
        let mut steps: Vec<&str> = key.split('.').collect();
        let last = steps.pop().unwrap_or_default();
        let mut place = &mut table;
        for step in steps {
            let (name, index) = match step.split_once('[') {
                Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
                None => (step, None),
            };
            let next = place.entry(name).or_insert_with(|| toml::Value::Table(toml::Table::new()));
            let next = match (next, index) {
                (toml::Value::Array(items), Some(index)) => items.get_mut(index),
                (next, None) => Some(next),
                _ => None,
            };
            place = next
                .and_then(toml::Value::as_table_mut)
                .ok_or_else(|| bad(key, format!("'{step}' is no table here")))?;
        }
        place.insert(last.to_string(), value);
    }
    toml::to_string(&table).map_err(|e| bad("", e.to_string()))
}
