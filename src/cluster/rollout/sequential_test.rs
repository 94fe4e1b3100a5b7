//! Whether what was counted halts a rollout, and whether it lets a stage pass.
//!
//! A halt is a sequential test of one-sided alternatives by betting (see `outcome_counts`): it may be looked at at any
//! time. A stage is passed on a test of non-inferiority of what was counted since the stage came into force.

use super::command::HaltReason;
use super::count_rows::{CollectedCounts, ProcessCounts, ProcessKey, Sequenced};
use super::outcome_counts::{ClassCounts, OutcomeTotals, PerArm, BETS};
use super::plan::RolloutSettings;
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's counts have no say where more than half of both arms fail there, once it saw so many of each.
const MIN_REQUESTS_TO_EXCLUDE: u64 = 20;
/// So many of all seats go by a stage before it is in force, in percent.
const MIN_SEATS_PERCENT: usize = 75;
/// The 95 % quantile of the normal distribution: a bound that a sound stage misses once in twenty looks.
const PASS_QUANTILE: f64 = 1.645;
/// The fraction of the rate of false halts that is spent on the test over all requests.
const ALPHA_OF_ALL: f64 = 0.5;
/// The same on all zones together, and on all classes together.
const ALPHA_OF_ZONES: f64 = 0.25;
const ALPHA_OF_CLASSES: f64 = 0.25;

/// Whether the gateway itself is the fault: both arms fail there alike.
fn is_faulty(process: &ProcessCounts) -> bool {
    let mut sent = PerArm::<u64>::default();
    let mut failures = PerArm::<u64>::default();
    for Sequenced { value, .. } in process.classes.values() {
        sent.baseline += value.outcomes.baseline.sent();
        sent.canary += value.outcomes.canary.sent();
        failures.baseline += value.outcomes.baseline.failures();
        failures.canary += value.outcomes.canary.failures();
    }
    let mostly_fails = |sent: u64, failures: u64| sent >= MIN_REQUESTS_TO_EXCLUDE && failures * 2 > sent;
    mostly_fails(sent.baseline, failures.baseline) && mostly_fails(sent.canary, failures.canary)
}

/// What the bets of several gateways gained, by seat.
#[derive(Default)]
struct Evidence(BTreeMap<u16, [f64; BETS]>);

impl Evidence {
    fn add(&mut self, seat: u16, log_gains: [f64; BETS]) {
        let sums = self.0.entry(seat).or_default();
        for (sum, gain) in sums.iter_mut().zip(log_gains) {
            *sum += gain;
        }
    }

    /// The logarithm of what the bets gained on average over their odds, without one seat's.
    fn log_average(&self, without: Option<u16>) -> f64 {
        let mut sums = [0.0; BETS];
        for (_, gains) in self.0.iter().filter(|(seat, _)| Some(**seat) != without) {
            for (sum, gain) in sums.iter_mut().zip(gains) {
                *sum += gain;
            }
        }
        // Guards against exponentials that are too large for a number.
        let most = maximum(&sums);
        most + (sums.iter().map(|sum| (sum - most).exp()).sum::<f64>() / sums.len() as f64).ln()
    }

    /// The seat that says most for a halt.
    fn strongest_seat(&self) -> Option<u16> {
        let by_gain = self.0.iter().max_by(|a, b| maximum(a.1).total_cmp(&maximum(b.1)));
        by_gain.map(|(seat, _)| *seat)
    }
}

fn maximum(values: &[f64; BETS]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}

/// Where the arms are compared, and the fraction of the rate of false halts that is spent on it.
struct Scope {
    name: String,
    evidence: Evidence,
    alpha_fraction: f64,
}

/// Over all, in each zone, and in each class.
fn scopes(counts: &CollectedCounts) -> Vec<Scope> {
    let mut all = Evidence::default();
    let mut zones = BTreeMap::<String, Evidence>::new();
    let mut classes = BTreeMap::<u16, Evidence>::new();
    for (key, process) in counts.processes().filter(|(_, process)| !is_faulty(process)) {
        for (class, Sequenced { value, .. }) in &process.classes {
            let gains = value.log_gains();
            all.add(key.seat, gains);
            zones.entry(process.zone.clone()).or_default().add(key.seat, gains);
            classes.entry(*class).or_default().add(key.seat, gains);
        }
    }
    let of_zone = ALPHA_OF_ZONES / zones.len().max(1) as f64;
    let of_class = ALPHA_OF_CLASSES / classes.len().max(1) as f64;
    let mut scopes = vec![Scope { name: "all".into(), evidence: all, alpha_fraction: ALPHA_OF_ALL }];
    scopes.extend(zones.into_iter().map(|(name, evidence)| Scope {
        name,
        evidence,
        alpha_fraction: of_zone,
    }));
    scopes.extend(classes.into_iter().map(|(class, evidence)| Scope {
        name: format!("class {class}"),
        evidence,
        alpha_fraction: of_class,
    }));
    scopes
}

/// Whether the canary is worse, by what all gateways counted: over all, in one zone, or in one class. One gateway alone is
/// not enough: the others' evidence has to pass the threshold that one look at all would have.
pub fn halt_reason(counts: &CollectedCounts, settings: &RolloutSettings) -> Option<HaltReason> {
    let threshold_of_others = -settings.false_halt_rate.ln();
    scopes(counts).into_iter().find_map(|scope| {
        let log_evidence = scope.evidence.log_average(None);
        let log_threshold = -(settings.false_halt_rate * scope.alpha_fraction).ln();
        let without_strongest = scope.evidence.log_average(scope.evidence.strongest_seat());
        let halts = log_evidence >= log_threshold && without_strongest >= threshold_of_others;
        halts.then_some(HaltReason::CanaryWorse { scope: scope.name, log_evidence, log_threshold })
    })
}

/// What was counted when a stage came into force.
#[derive(Debug, Clone)]
pub struct StageStart {
    /// When it came into force.
    pub at: Micros,
    counts: BTreeMap<(ProcessKey, u16), PerArm<OutcomeTotals>>,
}

impl StageStart {
    /// The stage comes into force now.
    pub fn new(now: Micros, counts: &CollectedCounts) -> StageStart {
        let classes = counts.processes().flat_map(|(key, process)| {
            process.classes.iter().map(move |(class, counts)| ((key, *class), counts.value.outcomes))
        });
        StageStart { at: now, counts: classes.collect() }
    }

    /// What a process counted of a class since then.
    fn since(&self, key: ProcessKey, class: u16, counts: &ClassCounts) -> PerArm<Sample> {
        let before = self.counts.get(&(key, class)).copied().unwrap_or_default();
        PerArm {
            baseline: Sample::difference(&counts.outcomes.baseline, &before.baseline),
            canary: Sample::difference(&counts.outcomes.canary, &before.canary),
        }
    }
}

/// Whether enough gateways have reported lately, all going by this stage, and more than half of each zone's.
pub fn is_in_force(now: Micros, counts: &CollectedCounts, stage: u8, seats: usize) -> bool {
    let fresh = counts.fresh(now);
    let following = fresh.values().filter(|process| process.stage >= stage).count();
    if following * 100 < seats * MIN_SEATS_PERCENT || following < fresh.len() {
        return false;
    }
    let mut known: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
    for (key, process) in counts.processes() {
        known.entry(&process.zone).or_default().insert(key.seat);
    }
    let mut reporting: BTreeMap<&str, usize> = BTreeMap::new();
    for process in fresh.values() {
        *reporting.entry(&process.zone).or_default() += 1;
    }
    known.iter().all(|(zone, seats)| reporting.get(zone).copied().unwrap_or(0) * 2 > seats.len())
}

/// Requests of one arm that were sent, and how many of them failed.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    sent: f64,
    failures: f64,
}

impl Sample {
    fn difference(now: &OutcomeTotals, before: &OutcomeTotals) -> Sample {
        Sample {
            sent: now.sent().saturating_sub(before.sent()) as f64,
            failures: now.failures().saturating_sub(before.failures()) as f64,
        }
    }

    fn add(&mut self, other: Sample) {
        self.sent += other.sent;
        self.failures += other.failures;
    }

    /// One failure and one success more than were counted: nothing is ever sure (Agresti and Coull 1998).
    fn adjusted_size(&self) -> f64 {
        self.sent + 2.0
    }

    fn failure_rate(&self) -> f64 {
        (self.failures + 1.0) / self.adjusted_size()
    }

    fn variance(&self) -> f64 {
        let rate = self.failure_rate();
        rate * (1.0 - rate) / self.adjusted_size()
    }
}

/// What was counted in a stage.
#[derive(Default)]
struct StageSamples {
    by_class: BTreeMap<u16, PerArm<Sample>>,
    /// Requests of the canary.
    canary_by_seat: BTreeMap<u16, f64>,
}

impl StageSamples {
    fn collect(now: Micros, counts: &CollectedCounts, start: &StageStart) -> StageSamples {
        let fresh = counts.fresh(now);
        let mut samples = StageSamples::default();
        for (key, process) in counts.processes() {
            if !fresh.contains_key(&key.seat) || is_faulty(process) {
                continue;
            }
            for (class, Sequenced { value, .. }) in &process.classes {
                let since = start.since(key, *class, value);
                let sums = samples.by_class.entry(*class).or_default();
                sums.baseline.add(since.baseline);
                sums.canary.add(since.canary);
                *samples.canary_by_seat.entry(key.seat).or_default() += since.canary.sent;
            }
        }
        samples
    }

    /// Whether the canary was seen often enough, and by more than one gateway.
    fn is_enough(&self, settings: &RolloutSettings) -> bool {
        let least = f64::from(settings.min_canary_requests);
        let largest = self.canary_by_seat.values().copied().fold(0.0, f64::max);
        let total = self.canary_requests();
        total >= least && (total - largest) * 2.0 >= least
    }

    fn canary_requests(&self) -> f64 {
        self.canary_by_seat.values().sum()
    }
}

/// Whether a stage that is in force may be passed on what was counted since: the canary was seen often enough, by more than
/// one gateway, and it is sure enough that it is worse by no more than the margin. Unknown is never good.
pub fn may_pass(
    now: Micros,
    counts: &CollectedCounts,
    start: &StageStart,
    settings: &RolloutSettings,
) -> bool {
    let samples = StageSamples::collect(now, counts, start);
    if !samples.is_enough(settings) {
        return false;
    }
    let total = samples.canary_requests();
    let mut excess = 0.0;
    let mut variance = 0.0;
    for PerArm { baseline, canary } in samples.by_class.values().filter(|arms| arms.canary.sent > 0.0) {
        if baseline.sent <= 0.0 {
            return false;
        }
        let weight = canary.sent / total;
        excess += weight * (canary.failure_rate() - baseline.failure_rate());
        variance += weight * weight * (canary.variance() + baseline.variance());
    }
    excess + PASS_QUANTILE * variance.sqrt() <= settings.margin
}
