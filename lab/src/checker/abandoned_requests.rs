//! Requests abandoned by a lost gateway, among those with an idempotency key and those that are not idempotent, and
//! requests that ran more often than their class permits.

use super::invariants::Outages;
use crate::cluster_poll::LedgerCounts;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Outcome, Record, Try};
use crate::scenario::Effect;
use std::collections::{BTreeMap, BTreeSet};

/// Metrics of abandoned requests.
#[derive(Debug, Default)]
pub(super) struct AbandonedRequests {
    /// Number of requests that a gateway had received completely when it was lost.
    pub count: usize,
    /// Fraction of the abandoned requests whose client got an answer 200 in time.
    pub served: f64,
    /// Fraction of the abandoned requests that a backend served, whether or not the client got the answer.
    pub ran: f64,
    /// Median time from the loss to the client's answer.
    pub p50_ms: f64,
    /// 99th percentile of the time from the loss to the client's answer.
    pub p99_ms: f64,
    /// Number of requests of the run, abandoned or not, that backends ran more than once.
    pub ran_too_often: usize,
}

pub(super) fn measure(plan: &Plan, record: &Record) -> AbandonedRequests {
    let outages = Outages::from_record(record);
    let effect = |arrival: usize| plan.scenario.classes[plan.arrivals[arrival].class].effect;
    let mut tries_by_arrival: BTreeMap<usize, Vec<&Try>> = BTreeMap::new();
    for client_attempt in
        record.tries.iter().filter(|client_attempt| effect(client_attempt.arrival) != Effect::Safe)
    {
        tries_by_arrival.entry(client_attempt.arrival).or_default().push(client_attempt);
    }
    let arrival_by_id: BTreeMap<u64, usize> =
        record.tries.iter().map(|client_attempt| (client_attempt.id, client_attempt.arrival)).collect();
    let served = record.attempts.iter().filter(|attempt| attempt.outcome == Outcome::Served);
    let served: BTreeSet<usize> =
        served.filter_map(|attempt| arrival_by_id.get(&attempt.id).copied()).collect();
    let (mut count, mut ran, mut waits_us) = (0, 0usize, Vec::new());
    for tries in tries_by_arrival.values_mut() {
        tries.sort_by_key(|client_attempt| client_attempt.nth);
        let is_lost = |client_attempt: &&&Try| {
            let written = client_attempt.written.unwrap_or(Microseconds::MAX);
            matches!(client_attempt.end, End::Broken | End::GaveUp)
                && outages.any_during(client_attempt.gateway, written, client_attempt.ended)
        };
        // A request that was not written in full before its client's time ran out was abandoned by no gateway.
        let Some(lost) = tries.iter().find(is_lost).filter(|client_attempt| client_attempt.written.is_some())
        else {
            continue;
        };
        count += 1;
        ran += usize::from(served.contains(&lost.arrival));
        let answer =
            tries.iter().find(|client_attempt| matches!(client_attempt.end, End::Answer { status: 200, .. }));
        let in_time = answer.filter(|client_attempt| client_attempt.ended <= client_attempt.until);
        waits_us.extend(
            in_time.map(|client_attempt| client_attempt.ended.saturating_sub(lost.ended.min(lost.until))),
        );
    }
    waits_us.sort_unstable();
    let quantile_ms = |quantile: f64| {
        let index = ((waits_us.len() as f64 * quantile).ceil() as usize).clamp(1, waits_us.len().max(1)) - 1;
        waits_us.get(index).map_or(0.0, |us| *us as f64 / 1000.0)
    };
    AbandonedRequests {
        count,
        served: waits_us.len() as f64 / (count as f64).max(1.0),
        ran: ran as f64 / (count as f64).max(1.0),
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        ran_too_often: ran_too_often(plan, record).len(),
    }
}

/// Sums the ledger counts over all gateway processes, each by its last report.
pub(super) fn ledger(record: &Record) -> LedgerCounts {
    let mut last_by_process: BTreeMap<(usize, usize), LedgerCounts> = BTreeMap::new();
    for observation in &record.cluster_observations {
        last_by_process.insert((observation.gateway, observation.life), observation.ledger);
    }
    last_by_process.into_values().fold(LedgerCounts::default(), |sum, counts| LedgerCounts {
        claims: sum.claims + counts.claims,
        taken_over: sum.taken_over + counts.taken_over,
        running: sum.running + counts.running,
        answered: sum.answered + counts.answered,
        unprotected: sum.unprotected + counts.unprotected,
        lost: sum.lost + counts.lost,
    })
}

/// Returns the arrivals that backends ran more than once although they are not idempotent or have an idempotency key.
pub(super) fn ran_too_often(plan: &Plan, record: &Record) -> Vec<usize> {
    let arrival_by_id: BTreeMap<u64, usize> =
        record.tries.iter().map(|client_attempt| (client_attempt.id, client_attempt.arrival)).collect();
    let mut runs: BTreeMap<usize, Vec<Microseconds>> = BTreeMap::new();
    for attempt in record.attempts.iter().filter(|attempt| attempt.ran) {
        if let Some(arrival) = arrival_by_id.get(&attempt.id) {
            runs.entry(*arrival).or_default().push(attempt.came);
        }
    }
    let class = |arrival: &usize| &plan.scenario.classes[plan.arrivals[*arrival].class];
    // Counts from the end of the warm-up, as all metrics do: until then no ledger node has a vote.
    let warm_up_end = crate::plan::us(plan.scenario.warm_up_s);
    let is_violation = |(arrival, _): &(usize, Vec<Microseconds>)| {
        class(arrival).effect != Effect::Safe && plan.arrivals[*arrival].at >= warm_up_end
    };
    runs.into_iter()
        .filter(|(_, times)| times.len() > 1)
        .filter(is_violation)
        .map(|(arrival, _)| arrival)
        .collect()
}
