//! Statistical tests that decide whether outcome counts halt a rollout or let a stage pass.
//!
//! The halt is a sequential test of one-sided alternatives by betting (see `outcome_counts`), which may be evaluated at
//! any time. A stage passes on a non-inferiority test of what was counted since the stage came into force.

use super::command::HaltReason;
use super::count_rows::{CollectedCounts, ProcessCounts, ProcessKey, Sequenced};
use super::outcome_counts::{ClassCounts, OutcomeTotals, PerArm, BET_COUNT};
use super::plan::RolloutSettings;
use crate::decision::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of requests in each arm before a gateway's counts can be excluded because more than half fail in both
/// arms.
const MIN_REQUESTS_TO_EXCLUDE: u64 = 20;
/// Minimum percentage of all seats that follow a stage before it is in force.
const MIN_SEATS_PERCENT: usize = 75;
/// 95 % quantile of the normal distribution: a sound stage fails this one-sided bound in one of twenty evaluations.
const PASS_QUANTILE: f64 = 1.645;
/// Fraction of the false-halt rate spent on the test over all requests.
const OVERALL_ALPHA_FRACTION: f64 = 0.5;
/// Fractions spent on the tests of all zones together, and of all classes together.
const ZONES_ALPHA_FRACTION: f64 = 0.25;
const CLASSES_ALPHA_FRACTION: f64 = 0.25;

/// Whether the gateway itself is likely at fault: most requests of both arms fail there.
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

/// Gains of the bets of several gateways, by seat, as natural logarithms.
#[derive(Default)]
struct Evidence(BTreeMap<u16, [f64; BET_COUNT]>);

impl Evidence {
    fn add(&mut self, seat: u16, log_gains: [f64; BET_COUNT]) {
        let sums = self.0.entry(seat).or_default();
        for (sum, gain) in sums.iter_mut().zip(log_gains) {
            *sum += gain;
        }
    }

    /// Logarithm of the average gain over the odds, without the bets of one seat.
    fn log_average(&self, excluded_seat: Option<u16>) -> f64 {
        let mut sums = [0.0; BET_COUNT];
        for (_, gains) in self.0.iter().filter(|(seat, _)| Some(**seat) != excluded_seat) {
            for (sum, gain) in sums.iter_mut().zip(gains) {
                *sum += gain;
            }
        }
        // Subtracting the largest exponent keeps `exp` from overflowing.
        let largest = maximum(&sums);
        largest + (sums.iter().map(|sum| (sum - largest).exp()).sum::<f64>() / sums.len() as f64).ln()
    }

    /// The seat with the strongest evidence for a halt.
    fn strongest_seat(&self) -> Option<u16> {
        let by_gain = self.0.iter().max_by(|a, b| maximum(a.1).total_cmp(&maximum(b.1)));
        by_gain.map(|(seat, _)| *seat)
    }
}

fn maximum(values: &[f64; BET_COUNT]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}

/// A scope in which the arms are compared, and the fraction of the false-halt rate spent on it.
struct Scope {
    name: String,
    evidence: Evidence,
    alpha_fraction: f64,
}

/// Returns the scopes to test: all requests, each zone, and each class.
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
    let alpha_per_zone = ZONES_ALPHA_FRACTION / zones.len().max(1) as f64;
    let alpha_per_class = CLASSES_ALPHA_FRACTION / classes.len().max(1) as f64;
    let mut scopes =
        vec![Scope { name: "all".into(), evidence: all, alpha_fraction: OVERALL_ALPHA_FRACTION }];
    scopes.extend(zones.into_iter().map(|(name, evidence)| Scope {
        name,
        evidence,
        alpha_fraction: alpha_per_zone,
    }));
    scopes.extend(classes.into_iter().map(|(class, evidence)| Scope {
        name: format!("class {class}"),
        evidence,
        alpha_fraction: alpha_per_class,
    }));
    scopes
}

/// Returns a halt reason if the canary is worse by the counts of all gateways: over all, in one zone, or in one class.
/// One gateway alone cannot halt the rollout: the evidence of the others must pass the threshold of a single test.
pub fn halt_reason(counts: &CollectedCounts, settings: &RolloutSettings) -> Option<HaltReason> {
    let others_threshold = -settings.false_halt_rate.ln();
    scopes(counts).into_iter().find_map(|scope| {
        let log_evidence = scope.evidence.log_average(None);
        let log_threshold = -(settings.false_halt_rate * scope.alpha_fraction).ln();
        let without_strongest = scope.evidence.log_average(scope.evidence.strongest_seat());
        let halts = log_evidence >= log_threshold && without_strongest >= others_threshold;
        halts.then_some(HaltReason::CanaryWorse { scope: scope.name, log_evidence, log_threshold })
    })
}

/// The counts at the time when a stage came into force.
#[derive(Debug, Clone)]
pub struct StageStart {
    /// Time when the stage came into force.
    pub started_at: Micros,
    counts: BTreeMap<(ProcessKey, u16), PerArm<OutcomeTotals>>,
}

impl StageStart {
    /// Records the counts of a stage that comes into force now.
    pub fn new(now: Micros, counts: &CollectedCounts) -> StageStart {
        let classes = counts.processes().flat_map(|(key, process)| {
            process.classes.iter().map(move |(class, counts)| ((key, *class), counts.value.outcomes))
        });
        StageStart { started_at: now, counts: classes.collect() }
    }

    /// Returns what a process has counted of a class since the stage came into force.
    fn samples_since(&self, key: ProcessKey, class: u16, counts: &ClassCounts) -> PerArm<Sample> {
        let before = self.counts.get(&(key, class)).copied().unwrap_or_default();
        PerArm {
            baseline: Sample::difference(&counts.outcomes.baseline, &before.baseline),
            canary: Sample::difference(&counts.outcomes.canary, &before.canary),
        }
    }
}

/// Whether enough gateways have reported recently, all of them follow this stage or a later one, and those that report
/// are more than half of the known gateways in each zone.
pub fn is_stage_in_force(now: Micros, counts: &CollectedCounts, stage: u8, seats: usize) -> bool {
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

    /// Sample size with one extra failure and one extra success, so that no estimated rate is 0 or 1 (Agresti and Coull
    /// 1998).
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

/// Samples counted during a stage.
#[derive(Default)]
struct StageSamples {
    by_class: BTreeMap<u16, PerArm<Sample>>,
    /// Number of canary requests.
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
                let arms = start.samples_since(key, *class, value);
                let sums = samples.by_class.entry(*class).or_default();
                sums.baseline.add(arms.baseline);
                sums.canary.add(arms.canary);
                *samples.canary_by_seat.entry(key.seat).or_default() += arms.canary.sent;
            }
        }
        samples
    }

    /// Whether the canary has enough requests, and not from one gateway alone: half of the minimum must come from
    /// others.
    fn is_sufficient(&self, settings: &RolloutSettings) -> bool {
        let min_requests = f64::from(settings.min_canary_requests);
        let largest = self.canary_by_seat.values().copied().fold(0.0, f64::max);
        let total = self.canary_requests();
        total >= min_requests && (total - largest) * 2.0 >= min_requests
    }

    fn canary_requests(&self) -> f64 {
        self.canary_by_seat.values().sum()
    }
}

/// Whether the counts since a stage came into force let it pass: the canary has enough requests, from more than one
/// gateway, and is worse by no more than the margin with sufficient confidence. Missing data never passes a stage.
pub fn may_pass_stage(
    now: Micros,
    counts: &CollectedCounts,
    start: &StageStart,
    settings: &RolloutSettings,
) -> bool {
    let samples = StageSamples::collect(now, counts, start);
    if !samples.is_sufficient(settings) {
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
