//! What became of requests with a key, or such that must not run twice, whose gateway was lost while it had them; and
//! whether any ran more often than its class permits.

use super::invariants::Absences;
use crate::cluster_poll::Ledger;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Outcome, Record, Try};
use crate::scenario::Effect;
use std::collections::{BTreeMap, BTreeSet};

/// The figures.
#[derive(Debug, Default)]
pub(super) struct Orphans {
    /// Requests that a gateway had whole when it was lost.
    pub count: usize,
    /// The part of them whose clients got their answer.
    pub served: f64,
    /// The part of them that a backend served, for whomever.
    pub ran: f64,
    /// From the loss to that answer, at the middle.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// Requests that ran more often than they may.
    pub doubled: usize,
}

pub(super) fn measure(plan: &Plan, record: &Record) -> Orphans {
    let absences = Absences::of(record);
    let effect = |arrival: usize| plan.scenario.classes[plan.arrivals[arrival].class].effect;
    let mut tries: BTreeMap<usize, Vec<&Try>> = BTreeMap::new();
    for one in record.tries.iter().filter(|one| effect(one.arrival) != Effect::Safe) {
        tries.entry(one.arrival).or_default().push(one);
    }
    let of: BTreeMap<u64, usize> = record.tries.iter().map(|one| (one.id, one.arrival)).collect();
    let served = record.attempts.iter().filter(|attempt| attempt.outcome == Outcome::Served);
    let served: BTreeSet<usize> = served.filter_map(|attempt| of.get(&attempt.id).copied()).collect();
    let (mut count, mut ran, mut waits) = (0, 0usize, Vec::new());
    for all in tries.values_mut() {
        all.sort_by_key(|one| one.nth);
        let lost = |one: &&&Try| {
            let written = one.written.unwrap_or(Microseconds::MAX);
            matches!(one.end, End::Broken | End::GaveUp) && absences.excuses(one.gateway, written, one.ended)
        };
        // A client that had no time left to come again is not missed by any gateway.
        let Some(lost) = all.iter().find(lost).filter(|one| one.written.is_some()) else { continue };
        count += 1;
        ran += usize::from(served.contains(&lost.arrival));
        let answer = all.iter().find(|one| matches!(one.end, End::Answer { status: 200, .. }));
        let in_time = answer.filter(|one| one.ended <= one.until);
        waits.extend(in_time.map(|one| one.ended.saturating_sub(lost.ended.min(lost.until))));
    }
    waits.sort_unstable();
    let at = |part: f64| {
        let place = ((waits.len() as f64 * part).ceil() as usize).clamp(1, waits.len().max(1)) - 1;
        waits.get(place).map_or(0.0, |us| *us as f64 / 1000.0)
    };
    Orphans {
        count,
        served: waits.len() as f64 / (count as f64).max(1.0),
        ran: ran as f64 / (count as f64).max(1.0),
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        doubled: doubled(plan, record).len(),
    }
}

/// What all gateways said of their ledger last, in each of their lives.
pub(super) fn ledger(record: &Record) -> Ledger {
    let mut last: BTreeMap<(usize, usize), Ledger> = BTreeMap::new();
    for seen in &record.fleets {
        last.insert((seen.gateway, seen.life), seen.ledger);
    }
    last.into_values().fold(Ledger::default(), |sum, one| Ledger {
        claims: sum.claims + one.claims,
        taken_over: sum.taken_over + one.taken_over,
        running: sum.running + one.running,
        answered: sum.answered + one.answered,
        unprotected: sum.unprotected + one.unprotected,
        lost: sum.lost + one.lost,
    })
}

/// The requests that ran more often than their class permits.
pub(super) fn doubled(plan: &Plan, record: &Record) -> Vec<usize> {
    let of: BTreeMap<u64, usize> = record.tries.iter().map(|one| (one.id, one.arrival)).collect();
    let mut runs: BTreeMap<usize, Vec<Microseconds>> = BTreeMap::new();
    for attempt in record.attempts.iter().filter(|attempt| attempt.ran) {
        if let Some(arrival) = of.get(&attempt.id) {
            runs.entry(*arrival).or_default().push(attempt.came);
        }
    }
    let class = |arrival: &usize| &plan.scenario.classes[plan.arrivals[*arrival].class];
    // As all figures, from the end of the warm-up on: before it no holder of the ledger has a vote.
    let from = crate::plan::us(plan.scenario.warm_up_s);
    let too_often = |(arrival, _): &(usize, Vec<Microseconds>)| {
        class(arrival).effect != Effect::Safe && plan.arrivals[*arrival].at >= from
    };
    runs.into_iter().filter(|(_, at)| at.len() > 1).filter(too_often).map(|(arrival, _)| arrival).collect()
}
