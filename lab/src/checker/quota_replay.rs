//! Replays the plans' quotas over the record of a run, to find the requests that were within their quota.

use super::earned_weight::weight;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Record, Try};
use std::collections::HashMap;

/// Whether the gateway rejected the attempt, so that the client may retry.
pub(super) fn is_rejected(client_attempt: &Try) -> bool {
    matches!(client_attempt.end, End::Answer { status: 429 | 503, .. })
}

/// Token bucket that starts full, refills at a rate and holds at most a burst.
struct TokenBucket {
    units: f64,
    last: Microseconds,
}

impl TokenBucket {
    fn refill(&mut self, now: Microseconds, rate: f64, burst: f64) -> f64 {
        self.units = (self.units + rate * now.saturating_sub(self.last) as f64 / 1e6).min(burst);
        self.last = self.last.max(now);
        self.units
    }
}

/// Token buckets of all customers, with the rate and burst of their plans.
pub(super) struct CustomerBuckets<'a> {
    plan: &'a Plan,
    by_customer: HashMap<usize, TokenBucket>,
}

impl<'a> CustomerBuckets<'a> {
    pub(super) fn new(plan: &'a Plan) -> CustomerBuckets<'a> {
        CustomerBuckets { plan, by_customer: HashMap::new() }
    }
    /// Returns the units in a customer's bucket and the bucket's burst.
    fn level(&mut self, customer: usize, now: Microseconds) -> (f64, f64) {
        let spec = &self.plan.scenario.plans[self.plan.customers[customer].plan];
        let burst = self.plan.burst(spec);
        let bucket = self.by_customer.entry(customer).or_insert(TokenBucket { units: burst, last: 0 });
        (bucket.refill(now, spec.rate, burst), burst)
    }
    /// Takes units from a customer's bucket; takes nothing and returns false if they exceed its content.
    pub(super) fn take(&mut self, customer: usize, now: Microseconds, units: f64) -> bool {
        let within_quota = self.level(customer, now).0 >= units;
        if within_quota {
            if let Some(bucket) = self.by_customer.get_mut(&customer) {
                bucket.units -= units;
            }
        }
        within_quota
    }
}

/// Use of quotas by the requests of a run.
#[derive(Default)]
pub(super) struct QuotaUse {
    /// By request id: whether the forwarded attempt was within the quota.
    pub(super) within_quota: HashMap<u64, bool>,
    /// By arrival, for requests with an idempotency key: all their attempts use the quota once.
    pub(super) within_quota_by_arrival: HashMap<usize, bool>,
    pub(super) rejected: usize,
    pub(super) rejected_with_quota_left: usize,
    pub(super) over_quota_units: f64,
    pub(super) over_quota_cost: f64,
    pub(super) forwarded_units: f64,
}

/// Replays the requests in order of time against token buckets; counts from `counted_from` on.
pub(super) fn quota_use(
    plan: &Plan,
    record: &Record,
    first_attempts: &HashMap<u64, Microseconds>,
    counted_from: Microseconds,
) -> QuotaUse {
    // Time of each forwarded or rejected attempt, and whether it was forwarded.
    let mut events: Vec<(Microseconds, &Try, bool)> = Vec::new();
    for client_attempt in &record.tries {
        match first_attempts.get(&client_attempt.id) {
            Some(at) => events.push((*at, client_attempt, true)),
            None if is_rejected(client_attempt) => events.push((client_attempt.ended, client_attempt, false)),
            None => {}
        }
    }
    events.sort_by_key(|(at, client_attempt, _)| (*at, client_attempt.id));
    let mut buckets = CustomerBuckets::new(plan);
    let mut quota_use = QuotaUse::default();
    for (at, client_attempt, forwarded) in events {
        let arrival = &plan.arrivals[client_attempt.arrival];
        let units = f64::from(arrival.units);
        if forwarded
            && plan.keyed(arrival.class)
            && quota_use.within_quota_by_arrival.contains_key(&client_attempt.arrival)
        {
            // Repeats are dropped by deduplication, so they use no further quota.
            quota_use
                .within_quota
                .insert(client_attempt.id, quota_use.within_quota_by_arrival[&client_attempt.arrival]);
        } else if forwarded {
            let within_quota = buckets.take(arrival.customer, at, units);
            if plan.keyed(arrival.class) {
                quota_use.within_quota_by_arrival.insert(client_attempt.arrival, within_quota);
            }
            quota_use.within_quota.insert(client_attempt.id, within_quota);
            if at >= counted_from {
                quota_use.forwarded_units += units;
                quota_use.over_quota_units += if within_quota { 0.0 } else { units };
                let cost = plan.scenario.plans[plan.customers[arrival.customer].plan].over_cost;
                quota_use.over_quota_cost +=
                    if within_quota { 0.0 } else { cost * weight(plan, client_attempt.arrival) };
            }
        }
        let rejected = is_rejected(client_attempt);
        if rejected && at >= counted_from {
            quota_use.rejected += 1;
            let (level, burst) = buckets.level(arrival.customer, at);
            quota_use.rejected_with_quota_left += usize::from(!forwarded && level >= burst / 2.0);
        }
    }
    quota_use
}
