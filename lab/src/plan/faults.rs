//! Faults resolved to steps: who exactly, and when to the microsecond.

use super::{us, Draw, Microseconds};
use crate::fault_targets::{Party, Target};
use crate::scenario::{Fault, Kind, Scenario};
use std::collections::{BTreeMap, BTreeSet};

/// Something that is done to the fleet at a moment.
#[derive(Debug, Clone)]
pub struct Step {
    /// When.
    pub at: Microseconds,
    /// What.
    pub action: Action,
}

/// What is added to a link's state while a fault is on, and taken off again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkChange {
    /// Nothing gets through.
    pub cut: bool,
    /// Microseconds more.
    pub delay_us: u32,
    /// Up to so many microseconds on top.
    pub jitter_us: u32,
    /// Parts of a million.
    pub loss: u32,
    /// Parts of a million.
    pub duplicate: u32,
    /// Parts of a million.
    pub reorder: u32,
}

/// The actions of steps; `on` begins one that lasts. Gateways and backends are named by their numbers.
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
    /// A backend's process dies.
    BackendDies(usize),
    /// It starts again, cold.
    BackendStarts(usize),
    /// A backend begins to drain, and a new one starts.
    Drain { old: usize, new: usize, label: String },
    /// A backend answers slower, with errors, by halves, or not at all.
    Ill { backend: usize, ill: BackendFault, on: bool },
    /// The counter takes no calls.
    CounterDown(bool),
    /// It takes so many microseconds longer.
    CounterSlow { delay_us: u32, on: bool },
    /// It forgets all.
    CounterEmpty,
    /// So many of a million answers hold no number.
    CounterGarble { rate: u32, on: bool },
    /// It bears so many millionths of its calls.
    CounterLimit { factor: u32, on: bool },
    /// News comes so many microseconds later.
    ListLate { delay_us: u32, on: bool },
    /// A gateway's agent says nothing.
    ListSilent { gateway: usize, on: bool },
    /// What went is listed as ready.
    ListGhost(bool),
    /// A backend is at another address.
    ListMove(usize),
    /// An operator sends this text to a gateway as a rollout.
    Rollout { gateway: usize, rules: String },
    /// Whoever leads the rollout is killed, and starts again so many microseconds later.
    KillLeader { back: Microseconds },
}

/// What is wrong with a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BackendFault {
    /// Times slower.
    Slow(f64),
    /// The part of answers that are errors.
    Errors(f64),
    /// The part of answers that break off.
    Half(f64),
    /// It says nothing.
    Silent,
}

/// A fault as a band on a plot.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Band {
    /// The kind and whom it befell.
    pub name: String,
    /// From, in seconds.
    pub from_s: f64,
    /// To, in seconds.
    pub to_s: f64,
}

fn ppm(part: f64) -> u32 {
    (part * 1e6).round() as u32
}
fn ms(value: Option<f64>) -> u32 {
    (value.unwrap_or(0.0) * 1000.0).round() as u32
}

/// The steps of all faults in the order of their times.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> (Vec<Step>, Vec<Band>) {
    let (mut steps, mut bands) = (Vec::new(), Vec::new());
    let mut backends = scenario.backends.count;
    for (number, fault) in scenario.faults.iter().enumerate() {
        let mut draw = Draw::new(seed, 100 + number as u64);
        let mut resolve = |texts: &[String]| -> BTreeSet<Party> {
            let targets = texts.iter().filter_map(|text| Target::read(text, scenario).ok());
            targets.flat_map(|target| target.resolve(scenario, &mut draw)).collect()
        };
        let who = resolve(&fault.who);
        let with = match fault.with.is_empty() {
            true => everyone(scenario).difference(&who).copied().collect(),
            false => resolve(&fault.with),
        };
        let before = steps.len();
        one(scenario, fault, &who, &with, &mut draw, &mut backends, &mut steps);
        let last = steps[before..].iter().map(|s: &Step| s.at).max().unwrap_or(0) as f64 / 1e6;
        let names: Vec<String> = match fault.who.len() {
            0 => vec![],
            _ if who.len() <= 3 => who.iter().map(|p| p.name()).collect(),
            _ => fault.who.clone(),
        };
        bands.push(Band {
            name: format!("{} {}", fault.kind.name(), names.join(" ")).trim().to_string(),
            from_s: fault.at_s,
            to_s: fault.for_s.map_or(last, |length| fault.at_s + length).max(fault.at_s + 0.2),
        });
    }
    steps.sort_by_key(|step| step.at);
    (nest_pauses(steps), bands)
}

/// Of pauses of one gateway that overlap, the first begin and the last end count: the end of one wakes nobody that
/// another still holds.
fn nest_pauses(steps: Vec<Step>) -> Vec<Step> {
    let mut held: BTreeMap<usize, u32> = BTreeMap::new();
    let changes = |step: &Step| {
        let Action::Pause { gateway, on } = step.action else { return true };
        let depth = held.entry(gateway).or_default();
        let before = *depth;
        *depth = if on { before + 1 } else { before.saturating_sub(1) };
        (before == 0) != (*depth == 0)
    };
    steps.into_iter().filter(changes).collect()
}

/// All but clients: those have to be named.
fn everyone(scenario: &Scenario) -> BTreeSet<Party> {
    let gateways = (0..scenario.gateways.count).map(Party::Gateway);
    let backends = (0..scenario.backends.count).map(Party::Backend);
    gateways.chain(backends).chain([Party::Counter, Party::Discovery]).collect()
}

/// When a fault is on, from and to.
fn spells(fault: &Fault) -> Vec<(Microseconds, Microseconds)> {
    let from = us(fault.at_s);
    let to = from + us(fault.for_s.unwrap_or(0.0));
    let Some([on, off]) = fault.flap_s else { return vec![(from, to)] };
    let (on, off) = (us(on).max(1), us(off).max(1));
    let starts = (0..).map(|i| from + i * (on + off)).take_while(|at| *at < to);
    starts.map(|at| (at, (at + on).min(to))).collect()
}

fn one(
    scenario: &Scenario,
    fault: &Fault,
    who: &BTreeSet<Party>,
    with: &BTreeSet<Party>,
    draw: &mut Draw,
    backends: &mut usize,
    steps: &mut Vec<Step>,
) {
    let spells = spells(fault);
    let at = us(fault.at_s);
    let gateways: Vec<usize> =
        who.iter().filter_map(|p| if let Party::Gateway(g) = p { Some(*g) } else { None }).collect();
    let servers: Vec<usize> =
        who.iter().filter_map(|p| if let Party::Backend(b) = p { Some(*b) } else { None }).collect();
    let mut push = |at: Microseconds, action: Action| steps.push(Step { at, action });
    let mut lasting = |action: &dyn Fn(bool) -> Vec<Action>| {
        for (from, to) in &spells {
            action(true).into_iter().for_each(|action| push(*from, action));
            action(false).into_iter().for_each(|action| push(*to, action));
        }
    };
    let ill = |ill: BackendFault| {
        let servers = servers.clone();
        move |on| servers.iter().map(|b| Action::Ill { backend: *b, ill, on }).collect::<Vec<_>>()
    };
    let rate = fault.rate.unwrap_or(1.0);
    let factor = fault.factor.unwrap_or(1.0);
    match fault.kind {
        Kind::Cut | Kind::Impair => {
            let change = LinkChange {
                cut: fault.kind == Kind::Cut,
                delay_us: ms(fault.delay_ms),
                jitter_us: ms(fault.jitter_ms),
                loss: ppm(fault.loss.unwrap_or(0.0)),
                duplicate: ppm(fault.duplicate.unwrap_or(0.0)),
                reorder: ppm(fault.reorder.unwrap_or(0.0)),
            };
            let (one, other): (Vec<Party>, Vec<Party>) =
                (who.iter().copied().collect(), with.iter().copied().collect());
            lasting(&|on| {
                let mut actions = vec![Action::Link { from: one.clone(), to: other.clone(), change, on }];
                if !fault.one_way.unwrap_or(false) {
                    actions.push(Action::Link { from: other.clone(), to: one.clone(), change, on });
                }
                actions
            });
        }
        Kind::Reset => {
            let (one, other): (Vec<Party>, Vec<Party>) =
                (who.iter().copied().collect(), with.iter().copied().collect());
            for (from, _) in &spells {
                push(*from, Action::Reset { one: one.clone(), other: other.clone() });
            }
        }
        Kind::Kill => {
            let back = |draw: &mut Draw| fault.back_s.map(|range| at + us(draw.between(range)).max(1));
            for g in gateways {
                push(at, Action::Kill(g));
                back(draw).into_iter().for_each(|back| push(back, Action::Start(g)));
            }
            for b in servers {
                push(at, Action::BackendDies(b));
                back(draw).into_iter().for_each(|back| push(back, Action::BackendStarts(b)));
            }
        }
        Kind::Pause => {
            lasting(&|on| gateways.iter().map(|g| Action::Pause { gateway: *g, on }).collect());
        }
        Kind::Restart => {
            for (turn, g) in batches(gateways, fault, draw) {
                push(at + turn, Action::Restart(g));
            }
        }
        Kind::Reload => gateways.iter().for_each(|g| push(at, Action::Reload(*g))),
        Kind::Slow => lasting(&ill(BackendFault::Slow(factor))),
        Kind::Errors => lasting(&ill(BackendFault::Errors(rate))),
        Kind::Half => lasting(&ill(BackendFault::Half(rate))),
        Kind::Silent => lasting(&ill(BackendFault::Silent)),
        Kind::Replace => {
            for (turn, old) in batches(servers, fault, draw) {
                let new = *backends;
                *backends += 1;
                let label = fault.label.clone().unwrap_or_else(|| scenario.backends.label.clone());
                push(at + turn, Action::Drain { old, new, label });
                push(at + turn + us(fault.drain_s.unwrap_or(0.0)).max(1), Action::BackendDies(old));
                if let Some(errors) = fault.errors {
                    push(
                        at + turn,
                        Action::Ill { backend: new, ill: BackendFault::Errors(errors), on: true },
                    );
                }
                if let Some(factor) = fault.factor {
                    push(at + turn, Action::Ill { backend: new, ill: BackendFault::Slow(factor), on: true });
                }
            }
        }
        Kind::CounterDown => lasting(&|on| vec![Action::CounterDown(on)]),
        Kind::CounterSlow => lasting(&|on| vec![Action::CounterSlow { delay_us: ms(fault.delay_ms), on }]),
        Kind::CounterEmpty => spells.iter().for_each(|(from, _)| push(*from, Action::CounterEmpty)),
        Kind::CounterGarble => lasting(&|on| vec![Action::CounterGarble { rate: ppm(rate), on }]),
        Kind::CounterLimit => lasting(&|on| vec![Action::CounterLimit { factor: ppm(factor), on }]),
        Kind::ListLate => lasting(&|on| vec![Action::ListLate { delay_us: ms(fault.delay_ms), on }]),
        Kind::ListSilent => {
            let all = if fault.who.is_empty() { (0..scenario.gateways.count).collect() } else { gateways };
            lasting(&|on| all.iter().map(|g| Action::ListSilent { gateway: *g, on }).collect());
        }
        Kind::ListGhost => lasting(&|on| vec![Action::ListGhost(on)]),
        Kind::ListMove => servers.iter().for_each(|b| push(at, Action::ListMove(*b))),
        Kind::Rollout => {
            let rules = fault.rules.clone().unwrap_or_default();
            gateways
                .iter()
                .take(1)
                .for_each(|g| push(at, Action::Rollout { gateway: *g, rules: rules.clone() }));
        }
        Kind::KillLeader => {
            let back = us(draw.between(fault.back_s.unwrap_or([1.0, 1.0]))).max(1);
            push(at, Action::KillLeader { back });
        }
        // These are in the arrivals.
        Kind::Surge | Kind::HotCustomer | Kind::HotGateway | Kind::Impatient => {}
    }
}

/// Who is taken when: some at a time, in an order that the seed draws.
fn batches(mut all: Vec<usize>, fault: &Fault, draw: &mut Draw) -> Vec<(Microseconds, usize)> {
    draw.shuffle(&mut all);
    let size = ((all.len() as f64 * fault.batch.unwrap_or(1.0)).round() as usize).max(1);
    let every = us(fault.every_s.unwrap_or(0.0));
    all.into_iter().enumerate().map(|(i, who)| ((i / size) as Microseconds * every, who)).collect()
}
