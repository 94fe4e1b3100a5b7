//! Event histories of requests that ran too often or were lost: their client attempts and backend attempts in order of
//! time, to help find the cause.

use super::{abandoned_requests, accepted_writes};
use crate::plan::Plan;
use crate::record::Record;

/// Maximum number of histories in a report.
const MAX_HISTORIES: usize = 6;

/// Returns the histories of requests that ran too often and of accepted writes that were lost.
pub(super) fn histories(plan: &Plan, record: &Record) -> Vec<String> {
    let ran_too_often = abandoned_requests::ran_too_often(plan, record)
        .into_iter()
        .map(|arrival| (arrival, "ran more often than its class permits"));
    let lost = accepted_writes::lost(plan, record)
        .into_iter()
        .map(|arrival| (arrival, "was accepted with 202 and lost"));
    let violations = ran_too_often.chain(lost).take(MAX_HISTORIES);
    violations.map(|(arrival, description)| history(plan, record, arrival, description)).collect()
}

fn history(plan: &Plan, record: &Record, arrival: usize, description: &str) -> String {
    let seconds = |us: u64| us as f64 / 1e6;
    let mut events: Vec<(u64, String)> = Vec::new();
    let tries: Vec<_> =
        record.tries.iter().filter(|client_attempt| client_attempt.arrival == arrival).collect();
    for client_attempt in &tries {
        events.push((
            client_attempt.began,
            format!(
                "client attempt {} sent to g{} (process {})",
                client_attempt.nth, client_attempt.gateway, client_attempt.life
            ),
        ));
        events.push((
            client_attempt.ended,
            format!("client attempt {} ended: {:?}", client_attempt.nth, client_attempt.end),
        ));
    }
    for attempt in
        record.attempts.iter().filter(|a| tries.iter().any(|client_attempt| client_attempt.id == a.id))
    {
        let sender = format!("g{} at b{}", attempt.gateway, attempt.backend);
        let start_note = if attempt.ran { "" } else { ", not started" };
        events.push((attempt.came, format!("attempt of {sender} received")));
        events.push((attempt.ended, format!("attempt of {sender} ended: {:?}{start_note}", attempt.outcome)));
    }
    for receipt in record.receipts.iter().filter(|receipt| receipt.arrival == arrival) {
        events.push((record.ended, format!("status at {}: {:?}", receipt.place, receipt.told)));
    }
    events.sort();
    let customer = plan.customers[plan.arrivals[arrival].customer].number;
    let lines: String = events
        .iter()
        .map(|(us, description)| format!("\n    {:9.3} s  {description}", seconds(*us)))
        .collect();
    format!("request {arrival} of customer {customer:x} {description}:{lines}")
}
