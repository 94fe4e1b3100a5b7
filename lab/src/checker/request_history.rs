//! What became of single requests that broke a promise: their tries and attempts in the order of time, for whoever looks for
//! the cause.

use super::{abandoned_requests, accepted_writes};
use crate::plan::Plan;
use crate::record::Record;

/// So many are told.
const MOST: usize = 6;

/// The stories of requests that ran too often, and of accepted writes that are lost.
pub(super) fn stories(plan: &Plan, record: &Record) -> Vec<String> {
    let doubled = abandoned_requests::doubled(plan, record)
        .into_iter()
        .map(|arrival| (arrival, "ran more often than it may"));
    let lost =
        accepted_writes::lost(plan, record).into_iter().map(|arrival| (arrival, "was accepted and is lost"));
    let told = doubled.chain(lost).take(MOST);
    told.map(|(arrival, what)| story(plan, record, arrival, what)).collect()
}

fn story(plan: &Plan, record: &Record, arrival: usize, what: &str) -> String {
    let at = |us: u64| us as f64 / 1e6;
    let mut events: Vec<(u64, String)> = Vec::new();
    let tries: Vec<_> = record.tries.iter().filter(|one| one.arrival == arrival).collect();
    for one in &tries {
        events.push((one.began, format!("try {} goes to g{} (life {})", one.nth, one.gateway, one.life)));
        events.push((one.ended, format!("try {} ends: {:?}", one.nth, one.end)));
    }
    for attempt in record.attempts.iter().filter(|a| tries.iter().any(|one| one.id == a.id)) {
        let who = format!("g{} at backend {}", attempt.gateway, attempt.backend);
        let ran = if attempt.ran { "" } else { ", never began" };
        events.push((attempt.came, format!("attempt of {who} came whole")));
        events.push((attempt.ended, format!("attempt of {who} ends: {:?}{ran}", attempt.outcome)));
    }
    for receipt in record.receipts.iter().filter(|receipt| receipt.arrival == arrival) {
        events.push((record.ended, format!("{} tells {:?}", receipt.place, receipt.told)));
    }
    events.sort();
    let customer = plan.customers[plan.arrivals[arrival].customer].number;
    let lines: String = events.iter().map(|(us, what)| format!("\n    {:9.3} s  {what}", at(*us))).collect();
    format!("request {arrival} of customer {customer:x} {what}:{lines}")
}
