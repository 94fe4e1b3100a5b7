//! Resolves the faults of a scenario to steps, with exact targets and times in microseconds.

use super::fault_expansion::FaultExpansion;
use super::{Draw, Microseconds};
use crate::fault_targets::{Party, Target};
use crate::scenario::{Fault, Scenario};
use std::collections::{BTreeMap, BTreeSet};

/// Random stream of the first fault; each further fault uses the next number.
const FIRST_FAULT_STREAM: u64 = 100;
/// Maximum number of targets that a band names; with more, the band shows the target texts of the scenario.
const MAX_NAMES_IN_BAND: usize = 3;
/// Minimum length of a band in seconds, so that it is visible on a plot.
const MIN_BAND_S: f64 = 0.2;

/// One timed action on the system under test. The plan's digest covers the names of these types as `Debug` writes
/// them, so a renamed field or variant changes the digest of every plan.
#[derive(Debug, Clone)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Microseconds,
    /// Action to carry out.
    pub action: Action,
}

/// Change that a fault adds to the state of a link while the fault is active, and subtracts at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkChange {
    /// Whether all traffic is blocked.
    pub cut: bool,
    /// Added delay in microseconds.
    pub delay_us: u32,
    /// Maximum additional random delay in microseconds.
    pub jitter_us: u32,
    /// Datagrams lost, per million.
    pub loss: u32,
    /// Datagrams duplicated, per million.
    pub duplicate: u32,
    /// Datagrams reordered, per million.
    pub reorder: u32,
}

/// Actions of steps. `on` is true where a lasting fault begins and false where it ends. Gateways and backends are
/// given by their numbers.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub enum Action {
    /// Changes the directed links from each party in `from` to each party in `to`.
    Link { from: Vec<Party>, to: Vec<Party>, change: LinkChange, on: bool },
    /// Resets the connections between the parties of the two lists.
    Reset { one: Vec<Party>, other: Vec<Party> },
    /// Kills a gateway with SIGKILL.
    Kill(usize),
    /// Starts a killed gateway again.
    Start(usize),
    /// Sends SIGSTOP to a gateway, or SIGCONT at the end.
    Pause { gateway: usize, on: bool },
    /// Sends SIGTERM to a gateway, and starts a new process once the old one has ended.
    Restart(usize),
    /// Sends SIGHUP to a gateway, with a configuration that has discovery at another address.
    Reload(usize),
    /// Ends the process of a backend.
    BackendDies(usize),
    /// Starts a backend again, cold.
    BackendStarts(usize),
    /// Begins to drain a backend, and starts a new one.
    Drain { old: usize, new: usize, label: String },
    /// Begins or ends a fault of a backend.
    Ill { backend: usize, ill: BackendFault, on: bool },
    /// The counter accepts no calls.
    CounterDown(bool),
    /// Delays the answers of the counter.
    CounterSlow { delay_us: u32, on: bool },
    /// Deletes the state of the counter.
    CounterEmpty,
    /// Makes `rate` answers of the counter per million hold no number.
    CounterGarble { rate: u32, on: bool },
    /// Scales the call limit of the counter by `factor` millionths.
    CounterLimit { factor: u32, on: bool },
    /// Delays the watch events of the endpoint list.
    ListLate { delay_us: u32, on: bool },
    /// Discovery does not answer a gateway.
    ListSilent { gateway: usize, on: bool },
    /// Backends that have ended stay listed as ready.
    ListGhost(bool),
    /// Moves a backend to another address.
    ListMove(usize),
    /// Sends a rollout with the text `rules` to a gateway, as an operator does.
    Rollout { gateway: usize, rules: String },
    /// Kills the leader of the rollout, and starts it again after `back` microseconds.
    KillLeader { back: Microseconds },
}

/// Kinds of misbehaviour of a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BackendFault {
    /// Factor by which work takes longer.
    Slow(f64),
    /// Fraction of answers that are errors.
    Errors(f64),
    /// Fraction of answers that are truncated.
    Half(f64),
    /// No answers at all.
    Silent,
}

/// A fault, shown as a band on a plot.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Band {
    /// Kind of the fault and its targets.
    pub name: String,
    /// Begin in seconds.
    pub from_s: f64,
    /// End in seconds.
    pub to_s: f64,
}

/// Resolves all faults of a scenario to steps in time order, and to bands for the report.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> (Vec<Step>, Vec<Band>) {
    let mut steps = Vec::new();
    let mut bands = Vec::new();
    let mut next_backend = scenario.backends.count;
    for (number, fault) in scenario.faults.iter().enumerate() {
        let mut draw = Draw::new(seed, FIRST_FAULT_STREAM + number as u64);
        let targets = resolve(scenario, &fault.who, &mut draw);
        let peers = if fault.with.is_empty() {
            default_peers(scenario).difference(&targets).copied().collect()
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

/// Returns the parties that the target texts name; targets without a number are drawn.
fn resolve(scenario: &Scenario, texts: &[String], draw: &mut Draw) -> BTreeSet<Party> {
    let targets = texts.iter().filter_map(|text| Target::read(text, scenario).ok());
    targets.flat_map(|target| target.resolve(scenario, draw)).collect()
}

/// Returns the band of a fault. Where the scenario gives no length, the band ends with the last step.
fn band(fault: &Fault, targets: &BTreeSet<Party>, steps: &[Step]) -> Band {
    let last_step_s = steps.iter().map(|step| step.at).max().unwrap_or(0) as f64 / 1e6;
    let names: Vec<String> = if fault.who.is_empty() {
        Vec::new()
    } else if targets.len() <= MAX_NAMES_IN_BAND {
        targets.iter().map(|party| party.name()).collect()
    } else {
        fault.who.clone()
    };
    let end_s = fault.for_s.map_or(last_step_s, |length_s| fault.at_s + length_s);
    Band {
        name: format!("{} {}", fault.kind.name(), names.join(" ")).trim().to_string(),
        from_s: fault.at_s,
        to_s: end_s.max(fault.at_s + MIN_BAND_S),
    }
}

/// Of overlapping pauses of one gateway, keeps the first begin and the last end: the end of one pause must not resume a
/// process that another pause still stops.
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

/// Returns all parties except the clients, which a scenario has to name explicitly.
fn default_peers(scenario: &Scenario) -> BTreeSet<Party> {
    let gateways = (0..scenario.gateways.count).map(Party::Gateway);
    let backends = (0..scenario.backends.count).map(Party::Backend);
    gateways.chain(backends).chain([Party::Counter, Party::Discovery]).collect()
}
