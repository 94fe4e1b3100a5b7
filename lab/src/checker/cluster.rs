//! What the gateways' own words on their fleet are worth, against the lives that the lab gave them.

use crate::plan::{Microseconds, Plan};
use crate::record::{ClusterObservation, Life, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Looks so late in a run count as its end, in microseconds.
const LAST: Microseconds = 1_500_000;

/// The figures; all zero where nobody was asked.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Words {
    /// Of the gateways that ran at the end, the part that held exactly each other to be present.
    pub one: f64,
    /// Seconds from the last fault's end or start of a process until the last look that saw a gateway wrong.
    pub wrong_for_s: f64,
    /// Of the gateways that ran at the end, the part that said that all agree.
    pub agreed: f64,
    /// Looks that held a gateway down that ran all the while and could be reached.
    pub false_downs: usize,
    /// Pairs of looks, at times that overlap, at two agreed views by one number.
    pub two_views: usize,
}

/// When each gateway ran without a pause, until the end.
fn spans(record: &Record, end: Microseconds) -> BTreeMap<usize, Vec<(Microseconds, Microseconds)>> {
    let mut spans: BTreeMap<usize, Vec<(Microseconds, Microseconds)>> = BTreeMap::new();
    let mut since: BTreeMap<usize, Microseconds> = BTreeMap::new();
    for event in record.lives.iter().filter(|event| event.at <= end) {
        match event.what {
            Life::Ready | Life::Continued => drop(since.entry(event.gateway).or_insert(event.at)),
            Life::Started => {}
            Life::Killed | Life::Terminated | Life::Paused | Life::Ended { .. } => {
                let from = since.remove(&event.gateway);
                from.into_iter()
                    .for_each(|from| spans.entry(event.gateway).or_default().push((from, event.at)));
            }
        }
    }
    for (gateway, from) in since {
        spans.entry(gateway).or_default().push((from, Microseconds::MAX));
    }
    spans
}

pub(super) fn words(plan: &Plan, record: &Record) -> Words {
    let Some(end) = record.fleets.iter().map(|seen| seen.asked).max() else { return Words::default() };
    let spans = spans(record, end);
    let ran = |gateway: usize, from: Microseconds, to: Microseconds| {
        spans.get(&gateway).is_some_and(|s| s.iter().any(|(a, b)| *a <= from && to <= *b))
    };
    let running =
        |at: Microseconds| -> Vec<usize> { spans.keys().copied().filter(|g| ran(*g, at, at)).collect() };
    let right = |seen: &&ClusterObservation| seen.present == running(seen.asked);
    let last = |seen: &&ClusterObservation| seen.asked + LAST >= end;
    let among = running(end);
    let part = |of: &dyn Fn(&&ClusterObservation) -> bool| {
        let told: BTreeSet<usize> =
            record.fleets.iter().filter(last).filter(of).map(|seen| seen.gateway).collect();
        among.iter().filter(|g| told.contains(g)).count() as f64 / among.len().max(1) as f64
    };
    let starts = record.lives.iter().filter(|e| e.what == Life::Ready).map(|e| e.at);
    let faults = plan.bands.iter().map(|band| crate::plan::us(band.to_s));
    let quiet = starts.chain(faults).filter(|at| *at <= end).max().unwrap_or(0);
    let wrong = record.fleets.iter().filter(|seen| !right(seen)).map(|seen| seen.asked).max().unwrap_or(0);
    let healthy = |gateway: usize, at: Microseconds| ran(gateway, at.saturating_sub(20_000_000), at);
    let unsettled = |at: Microseconds| {
        plan.bands
            .iter()
            .any(|b| crate::plan::us(b.from_s) <= at && at <= crate::plan::us(b.to_s) + 15_000_000)
    };
    let calm = record.fleets.iter().filter(|seen| !unsettled(seen.asked));
    let false_downs = calm.map(|seen| seen.down.iter().filter(|g| healthy(**g, seen.asked)).count()).sum();
    let mut by_number: BTreeMap<u64, Vec<&ClusterObservation>> = BTreeMap::new();
    for seen in record.fleets.iter().filter(|seen| seen.agreed) {
        seen.view.iter().for_each(|(number, _)| by_number.entry(*number).or_default().push(seen));
    }
    let overlap = |a: &ClusterObservation, b: &ClusterObservation| {
        a.view != b.view && a.asked <= b.at && b.asked <= a.at
    };
    let two = |looks: &Vec<&ClusterObservation>| {
        looks
            .iter()
            .enumerate()
            .map(|(i, a)| looks[..i].iter().filter(|b| overlap(a, b)).count())
            .sum::<usize>()
    };
    Words {
        one: part(&right),
        wrong_for_s: wrong.saturating_sub(quiet) as f64 / 1e6,
        agreed: part(&|seen: &&ClusterObservation| seen.agreed),
        false_downs,
        two_views: by_number.values().map(two).sum(),
    }
}
