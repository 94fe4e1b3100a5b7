//! Writes that a branch accepted with 202, against what its clients saw and what the backends ran.

use crate::plan::{Microseconds, Plan};
use crate::record::{End, Fate, Outcome, Record};
use std::collections::BTreeMap;

/// The figures; all zero where nothing was accepted.
#[derive(Debug, Default)]
pub(super) struct Accepted {
    /// Requests that were answered 202.
    pub count: usize,
    /// Those of them that no backend had served by the end, and of which their clients were told no other end.
    pub lost: Vec<usize>,
    /// Those that did not run, as their clients were told that another stands in their place ...
    pub superseded: usize,
    /// ... that they were given up or may have run ...
    pub not_done: usize,
    /// ... or that they wait still.
    pub open: usize,
    /// Those that ran and were told not to have, or were told to be done and did not run.
    pub untrue: usize,
    /// Pairs of one customer's, the second begun after the first was accepted, that ran the other way round.
    pub disorder: usize,
    /// Seconds from the end of the last fault to the last of them that ran.
    pub drained_s: f64,
}

pub(super) fn measure(plan: &Plan, record: &Record) -> Accepted {
    // By arrival: when its first try began and when the first 202 was there; and the branch that said so.
    let mut taken: BTreeMap<usize, (Microseconds, Microseconds)> = BTreeMap::new();
    let mut branch: BTreeMap<usize, usize> = BTreeMap::new();
    for one in record.tries.iter().filter(|t| matches!(t.end, End::Answer { status: 202, .. })) {
        let held = taken.entry(one.arrival).or_insert((one.began, one.ended));
        held.1 = held.1.min(one.ended);
        branch.insert(one.arrival, one.gateway % plan.scenario.gateways.branches);
    }
    for one in &record.tries {
        taken.get_mut(&one.arrival).into_iter().for_each(|held| held.0 = held.0.min(one.began));
    }
    let of: BTreeMap<u64, usize> = record.tries.iter().map(|one| (one.id, one.arrival)).collect();
    let mut ran: BTreeMap<usize, Microseconds> = BTreeMap::new();
    for attempt in record.attempts.iter().filter(|a| a.outcome == Outcome::Served) {
        if let Some(arrival) = of.get(&attempt.id).filter(|arrival| taken.contains_key(arrival)) {
            let first = ran.entry(*arrival).or_insert(attempt.came);
            *first = (*first).min(attempt.came);
        }
    }
    let mut of_customer: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for arrival in taken.keys() {
        of_customer.entry(plan.arrivals[*arrival].customer).or_default().push(*arrival);
    }
    let wrong = |a: &usize, b: &usize| match (ran.get(a), ran.get(b)) {
        // No order is promised between two branches.
        (Some(first), Some(then)) => branch[a] == branch[b] && taken[a].1 < taken[b].0 && first > then,
        _ => false,
    };
    let disorder = of_customer
        .values()
        .map(|all| all.iter().map(|a| all.iter().filter(|b| wrong(a, b)).count()).sum::<usize>());
    let healed = plan.bands.iter().map(|band| crate::plan::us(band.to_s)).max().unwrap_or(0);
    let last = ran.values().copied().max().unwrap_or(0);
    let mut figures = Accepted {
        count: taken.len(),
        disorder: disorder.sum(),
        drained_s: last.saturating_sub(healed) as f64 / 1e6,
        ..Accepted::default()
    };
    for arrival in taken.keys() {
        figures.hear(*arrival, ran.contains_key(arrival), &told(record, *arrival));
    }
    figures
}

/// The accepted writes that are lost.
pub(super) fn lost(plan: &Plan, record: &Record) -> Vec<usize> {
    measure(plan, record).lost
}

/// What the client of a write was told of it, where it holds several receipts the one that says most.
fn told(record: &Record, arrival: usize) -> Fate {
    let certain = |fate: &Fate| match fate {
        Fate::Done(_) => 3,
        Fate::Superseded | Fate::GivenUp | Fate::Unknown => 2,
        Fate::Open => 1,
        Fate::Nothing | Fate::Lost => 0,
    };
    let all = record.receipts.iter().filter(|receipt| receipt.arrival == arrival);
    all.map(|receipt| receipt.told.clone()).max_by_key(certain).unwrap_or(Fate::Nothing)
}

impl Accepted {
    /// Holds what a client was told against what the backends saw.
    fn hear(&mut self, arrival: usize, ran: bool, told: &Fate) {
        match (ran, told) {
            (true, Fate::Superseded | Fate::GivenUp) => self.untrue += 1,
            (true, _) => {}
            (false, Fate::Done(status)) if *status < 400 => self.untrue += 1,
            (false, Fate::Superseded) => self.superseded += 1,
            (false, Fate::Done(_) | Fate::GivenUp | Fate::Unknown) => self.not_done += 1,
            (false, Fate::Open) => self.open += 1,
            (false, Fate::Nothing | Fate::Lost) => self.lost.push(arrival),
        }
    }
}
