//! Faults resolved to steps: who exactly, and when to the microsecond.

use super::fault_expansion::FaultExpansion;
use super::{Draw, Microseconds};
use crate::fault_targets::{Party, Target};
use crate::scenario::{Fault, Scenario};
use std::collections::{BTreeMap, BTreeSet};

/// The random stream of the first fault; each further fault has the next one.
const FIRST_FAULT_STREAM: u64 = 100;
/// A band names its targets up to this many, and beyond it shows the scenario's own words.
const MOST_NAMES_IN_BAND: usize = 3;
/// A band is at least this long, in seconds, so that it shows on a plot.
const SHORTEST_BAND_S: f64 = 0.2;

/// One action on the system under test, at a time. The plan's digest covers the names of these types as `Debug`
/// writes them, so a renamed field or variant changes the digest of every plan.
#[derive(Debug, Clone)]
pub struct Step {
    /// When it is done, from the start of the run.
    pub at: Microseconds,
    /// What is done.
    pub action: Action,
}

/// What a fault adds to a link's state while it is on; it is taken off again at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkChange {
    /// Nothing gets through.
    pub cut: bool,
    /// Added delay in microseconds.
    pub delay_us: u32,
    /// Random delay on top, up to this many microseconds.
    pub jitter_us: u32,
    /// Datagrams lost, per million.
    pub loss: u32,
    /// Datagrams duplicated, per million.
    pub duplicate: u32,
    /// Datagrams reordered, per million.
    pub reorder: u32,
}

/// The actions of steps. `on` is true where a lasting one begins and false where it ends. Gateways and backends are
/// given by their numbers.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub enum Action {
    /// Changes the directed links from each of the first to each of the second.
    Link { from: Vec<Party>, to: Vec<Party>, change: LinkChange, on: bool },
    /// Resets connections between these.
    Reset { one: Vec<Party>, other: Vec<Party> },
    /// SIGKILL.
    Kill(usize),
    /// Starts a gateway again that was killed.
    Start(usize),
    /// SIGSTOP, and SIGCONT.
    Pause { gateway: usize, on: bool },
    /// SIGTERM, and a new process once it has ended.
    Restart(usize),
    /// SIGHUP with discovery at another address.
    Reload(usize),
    /// A backend's process ends.
    BackendDies(usize),
    /// A backend starts again, cold.
    BackendStarts(usize),
    /// A backend begins to drain, and a new one starts.
    Drain { old: usize, new: usize, label: String },
    /// A backend answers slower, with errors, with truncated answers, or not at all.
    Ill { backend: usize, ill: BackendFault, on: bool },
    /// The counter takes no calls.
    CounterDown(bool),
    /// The counter answers this many microseconds later.
    CounterSlow { delay_us: u32, on: bool },
    /// The counter loses its state.
    CounterEmpty,
    /// This many answers of the counter per million hold no number.
    CounterGarble { rate: u32, on: bool },
    /// The counter's call limit becomes this many millionths of its own.
    CounterLimit { factor: u32, on: bool },
    /// Watch events of the endpoint list come this many microseconds later.
    ListLate { delay_us: u32, on: bool },
    /// A gateway gets no answer from discovery.
    ListSilent { gateway: usize, on: bool },
    /// Backends that are gone stay listed as ready.
    ListGhost(bool),
    /// A backend moves to another address.
    ListMove(usize),
    /// An operator sends this text to a gateway as a rollout.
    Rollout { gateway: usize, rules: String },
    /// The leader of the rollout is killed, and starts again this many microseconds later.
    KillLeader { back: Microseconds },
}

/// What is wrong with a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BackendFault {
    /// This many times slower.
    Slow(f64),
    /// The fraction of answers that are errors.
    Errors(f64),
    /// The fraction of answers that are truncated.
    Half(f64),
    /// It never answers.
    Silent,
}

/// A fault as a band on a plot.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Band {
    /// The kind of fault and its targets.
    pub name: String,
    /// When it begins, in seconds.
    pub from_s: f64,
    /// When it ends, in seconds.
    pub to_s: f64,
}

/// Resolves all faults of a scenario to steps in the order of their times, and to bands for the report.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> (Vec<Step>, Vec<Band>) {
    let mut steps = Vec::new();
    let mut bands = Vec::new();
    let mut next_backend = scenario.backends.count;
    for (number, fault) in scenario.faults.iter().enumerate() {
        let mut draw = Draw::new(seed, FIRST_FAULT_STREAM + number as u64);
        let targets = resolve(scenario, &fault.who, &mut draw);
        let peers = if fault.with.is_empty() {
            everyone(scenario).difference(&targets).copied().collect()
        } else {
            resolve(scenario, &fault.with, &mut draw)
        };
        let expansion = FaultExpansion::new(scenario, fault, &targets, &peers);
        let fault_steps = expansion.expand(&mut draw, &mut next_backend);
        bands.push(band(fault, &targets, &fault_steps));
        steps.extend(fault_steps);
    }
    steps.sort_by_key(|step| step.at);
    (nest_pauses(steps), bands)
}

/// The parties that target texts name; those without a number are drawn.
fn resolve(scenario: &Scenario, texts: &[String], draw: &mut Draw) -> BTreeSet<Party> {
    let targets = texts.iter().filter_map(|text| Target::read(text, scenario).ok());
    targets.flat_map(|target| target.resolve(scenario, draw)).collect()
}

/// A fault as the report shows it; it lasts until its last step where the scenario gives no length.
fn band(fault: &Fault, targets: &BTreeSet<Party>, steps: &[Step]) -> Band {
    let last_step_s = steps.iter().map(|step| step.at).max().unwrap_or(0) as f64 / 1e6;
    let names: Vec<String> = if fault.who.is_empty() {
        Vec::new()
    } else if targets.len() <= MOST_NAMES_IN_BAND {
        targets.iter().map(|party| party.name()).collect()
    } else {
        fault.who.clone()
    };
    let end_s = fault.for_s.map_or(last_step_s, |length_s| fault.at_s + length_s);
    Band {
        name: format!("{} {}", fault.kind.name(), names.join(" ")).trim().to_string(),
        from_s: fault.at_s,
        to_s: end_s.max(fault.at_s + SHORTEST_BAND_S),
    }
}

/// Of pauses of one gateway that overlap, keeps the first begin and the last end: the end of one must not wake a
/// process that another one still stops.
fn nest_pauses(steps: Vec<Step>) -> Vec<Step> {
    let mut depths: BTreeMap<usize, u32> = BTreeMap::new();
    let takes_effect = |step: &Step| {
        let Action::Pause { gateway, on } = step.action else { return true };
        let depth = depths.entry(gateway).or_default();
        let before = *depth;
        *depth = if on { before + 1 } else { before.saturating_sub(1) };
        (before == 0) != (*depth == 0)
    };
    steps.into_iter().filter(takes_effect).collect()
}

/// All parties but the clients, which have to be named.
fn everyone(scenario: &Scenario) -> BTreeSet<Party> {
    let gateways = (0..scenario.gateways.count).map(Party::Gateway);
    let backends = (0..scenario.backends.count).map(Party::Backend);
    gateways.chain(backends).chain([Party::Counter, Party::Discovery]).collect()
}
