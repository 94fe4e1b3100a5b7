//! Compares the writes that a branch accepted with 202 with the status that clients read and with what backends ran.

use crate::plan::{Microseconds, Plan};
use crate::record::{End, Outcome, Record, WriteStatus};
use std::collections::BTreeMap;

/// Metrics of accepted writes; all zero if none was accepted.
#[derive(Debug, Default)]
pub(super) struct AcceptedWrites {
    /// Number of requests that were answered 202.
    pub count: usize,
    /// Writes that no backend had served by the end of the run and whose clients read no known status
    /// or only that the write is lost.
    pub lost: Vec<usize>,
    /// Number of writes that did not run and whose status said that another write replaced them.
    pub superseded: usize,
    /// Number of writes that did not run and whose status was an error, given up or unknown.
    pub not_done: usize,
    /// Number of writes that did not run and whose status said that they are still pending.
    pub open: usize,
    /// Number of writes that ran though the status said that they did not, or did not run though it said done.
    pub misreported: usize,
    /// Pairs of writes of one customer, the second begun after the first was accepted, that ran in reverse order.
    pub reordered_pairs: usize,
    /// Seconds from the end of the last fault to the last accepted write that ran.
    pub drained_s: f64,
}

pub(super) fn measure(plan: &Plan, record: &Record) -> AcceptedWrites {
    // By arrival: when the first client attempt began and the first 202 was received, and the branch that accepted the
    // write.
    let mut accepted: BTreeMap<usize, (Microseconds, Microseconds)> = BTreeMap::new();
    let mut branch: BTreeMap<usize, usize> = BTreeMap::new();
    for client_attempt in record.tries.iter().filter(|t| matches!(t.end, End::Answer { status: 202, .. })) {
        let times =
            accepted.entry(client_attempt.arrival).or_insert((client_attempt.began, client_attempt.ended));
        times.1 = times.1.min(client_attempt.ended);
        branch.insert(client_attempt.arrival, client_attempt.gateway % plan.scenario.gateways.branches);
    }
    for client_attempt in &record.tries {
        accepted
            .get_mut(&client_attempt.arrival)
            .into_iter()
            .for_each(|times| times.0 = times.0.min(client_attempt.began));
    }
    let arrival_by_id: BTreeMap<u64, usize> =
        record.tries.iter().map(|client_attempt| (client_attempt.id, client_attempt.arrival)).collect();
    let mut ran_at: BTreeMap<usize, Microseconds> = BTreeMap::new();
    for attempt in record.attempts.iter().filter(|a| a.outcome == Outcome::Served) {
        if let Some(arrival) = arrival_by_id.get(&attempt.id).filter(|arrival| accepted.contains_key(arrival))
        {
            let first = ran_at.entry(*arrival).or_insert(attempt.received_at);
            *first = (*first).min(attempt.received_at);
        }
    }
    let mut by_customer: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for arrival in accepted.keys() {
        by_customer.entry(plan.arrivals[*arrival].customer).or_default().push(*arrival);
    }
    let is_reordered = |a: &usize, b: &usize| match (ran_at.get(a), ran_at.get(b)) {
        // The order of writes is guaranteed within one branch only.
        (Some(ran_a), Some(ran_b)) => {
            branch[a] == branch[b] && accepted[a].1 < accepted[b].0 && ran_a > ran_b
        }
        _ => false,
    };
    let reordered_pairs = by_customer
        .values()
        .map(|all| all.iter().map(|a| all.iter().filter(|b| is_reordered(a, b)).count()).sum::<usize>());
    let faults_end = plan.bands.iter().map(|band| crate::plan::us(band.to_s)).max().unwrap_or(0);
    let last_run = ran_at.values().copied().max().unwrap_or(0);
    let mut figures = AcceptedWrites {
        count: accepted.len(),
        reordered_pairs: reordered_pairs.sum(),
        drained_s: last_run.saturating_sub(faults_end) as f64 / 1e6,
        ..AcceptedWrites::default()
    };
    for arrival in accepted.keys() {
        figures.count_write(*arrival, ran_at.contains_key(arrival), &reported_status(record, *arrival));
    }
    figures
}

/// Returns the accepted writes that were lost.
pub(super) fn lost(plan: &Plan, record: &Record) -> Vec<usize> {
    measure(plan, record).lost
}

/// Returns the most definite status of a write among all statuses that its clients read.
fn reported_status(record: &Record, arrival: usize) -> WriteStatus {
    let certainty = |fate: &WriteStatus| match fate {
        WriteStatus::Done(_) => 3,
        WriteStatus::Superseded | WriteStatus::GivenUp | WriteStatus::Unknown => 2,
        WriteStatus::Open => 1,
        WriteStatus::Nothing | WriteStatus::Lost => 0,
    };
    let receipts = record.receipts.iter().filter(|receipt| receipt.arrival == arrival);
    receipts.map(|receipt| receipt.status.clone()).max_by_key(certainty).unwrap_or(WriteStatus::Nothing)
}

impl AcceptedWrites {
    /// Counts a write by whether a backend served it and by the status that its client read.
    fn count_write(&mut self, arrival: usize, ran: bool, status: &WriteStatus) {
        match (ran, status) {
            (true, WriteStatus::Superseded | WriteStatus::GivenUp) => self.misreported += 1,
            (true, _) => {}
            (false, WriteStatus::Done(status)) if *status < 400 => self.misreported += 1,
            (false, WriteStatus::Superseded) => self.superseded += 1,
            (false, WriteStatus::Done(_) | WriteStatus::GivenUp | WriteStatus::Unknown) => self.not_done += 1,
            (false, WriteStatus::Open) => self.open += 1,
            (false, WriteStatus::Nothing | WriteStatus::Lost) => self.lost.push(arrival),
        }
    }
}
