//! Compares the membership views that gateways reported with the times at which their processes really ran.

use crate::plan::{Microseconds, Plan};
use crate::record::{ClusterObservation, Life, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Polls within this time of the last poll count as the end of the run.
const END_MARGIN_US: Microseconds = 1_500_000;

/// Metrics of the membership views; all zero if no gateway was polled.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MembershipMetrics {
    /// Fraction of the gateways running at the end whose view contained exactly these gateways.
    pub exact_views: f64,
    /// Seconds from the last fault's end or process start to the last poll that saw a wrong view.
    pub wrong_view_s: f64,
    /// Fraction of the gateways running at the end that reported their membership view as agreed.
    pub agreed: f64,
    /// Number of reports that a gateway was down although it had run for 20 s, outside faults and the 15 s
    /// after them.
    pub false_downs: usize,
    /// Pairs of overlapping polls that saw two different agreed views with the same view number.
    pub conflicting_views: usize,
}

/// Returns when each gateway was ready and not paused; a span still open at `end` has no end.
fn running_spans(record: &Record, end: Microseconds) -> BTreeMap<usize, Vec<(Microseconds, Microseconds)>> {
    let mut running_spans: BTreeMap<usize, Vec<(Microseconds, Microseconds)>> = BTreeMap::new();
    let mut running_since: BTreeMap<usize, Microseconds> = BTreeMap::new();
    for event in record.process_events.iter().filter(|event| event.at <= end) {
        match event.what {
            Life::Ready | Life::Continued => drop(running_since.entry(event.gateway).or_insert(event.at)),
            Life::Started => {}
            Life::Killed | Life::Terminated | Life::Paused | Life::Ended { .. } => {
                let from = running_since.remove(&event.gateway);
                from.into_iter()
                    .for_each(|from| running_spans.entry(event.gateway).or_default().push((from, event.at)));
            }
        }
    }
    for (gateway, from) in running_since {
        running_spans.entry(gateway).or_default().push((from, Microseconds::MAX));
    }
    running_spans
}

pub(super) fn measure(plan: &Plan, record: &Record) -> MembershipMetrics {
    let Some(end) = record.cluster_observations.iter().map(|observation| observation.asked_at).max() else {
        return MembershipMetrics::default();
    };
    let running_spans = running_spans(record, end);
    let is_running = |gateway: usize, from: Microseconds, to: Microseconds| {
        running_spans.get(&gateway).is_some_and(|s| s.iter().any(|(a, b)| *a <= from && to <= *b))
    };
    let running = |at: Microseconds| -> Vec<usize> {
        running_spans.keys().copied().filter(|g| is_running(*g, at, at)).collect()
    };
    let is_correct = |observation: &&ClusterObservation| observation.present == running(observation.asked_at);
    let is_at_end = |observation: &&ClusterObservation| observation.asked_at + END_MARGIN_US >= end;
    let running_at_end = running(end);
    let fraction_at_end = |matches: &dyn Fn(&&ClusterObservation) -> bool| {
        let gateways: BTreeSet<usize> = record
            .cluster_observations
            .iter()
            .filter(is_at_end)
            .filter(matches)
            .map(|observation| observation.gateway)
            .collect();
        running_at_end.iter().filter(|g| gateways.contains(g)).count() as f64
            / running_at_end.len().max(1) as f64
    };
    let starts = record.process_events.iter().filter(|e| e.what == Life::Ready).map(|e| e.at);
    let faults = plan.bands.iter().map(|band| crate::plan::us(band.to_s));
    let last_disturbance = starts.chain(faults).filter(|at| *at <= end).max().unwrap_or(0);
    let last_wrong = record
        .cluster_observations
        .iter()
        .filter(|observation| !is_correct(observation))
        .map(|observation| observation.asked_at)
        .max()
        .unwrap_or(0);
    let has_run_20_s =
        |gateway: usize, at: Microseconds| is_running(gateway, at.saturating_sub(20_000_000), at);
    let is_near_fault = |at: Microseconds| {
        plan.bands
            .iter()
            .any(|b| crate::plan::us(b.from_s) <= at && at <= crate::plan::us(b.to_s) + 15_000_000)
    };
    let outside_faults =
        record.cluster_observations.iter().filter(|observation| !is_near_fault(observation.asked_at));
    let false_downs = outside_faults
        .map(|observation| {
            observation.down.iter().filter(|g| has_run_20_s(**g, observation.asked_at)).count()
        })
        .sum();
    let mut by_number: BTreeMap<u64, Vec<&ClusterObservation>> = BTreeMap::new();
    for observation in record.cluster_observations.iter().filter(|observation| observation.agreed) {
        observation
            .view
            .iter()
            .for_each(|(number, _)| by_number.entry(*number).or_default().push(observation));
    }
    let is_conflict = |a: &ClusterObservation, b: &ClusterObservation| {
        a.view != b.view && a.asked_at <= b.answered_at && b.asked_at <= a.answered_at
    };
    let conflicts = |observations: &Vec<&ClusterObservation>| {
        observations
            .iter()
            .enumerate()
            .map(|(i, a)| observations[..i].iter().filter(|b| is_conflict(a, b)).count())
            .sum::<usize>()
    };
    MembershipMetrics {
        exact_views: fraction_at_end(&is_correct),
        wrong_view_s: last_wrong.saturating_sub(last_disturbance) as f64 / 1e6,
        agreed: fraction_at_end(&|observation: &&ClusterObservation| observation.agreed),
        false_downs,
        conflicting_views: by_number.values().map(conflicts).sum(),
    }
}
