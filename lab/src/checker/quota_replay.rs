//! Quotas as the plans of a run state them, replayed over the record: which requests were inside.

use super::earned_weight::weight;
use crate::plan::{Microseconds, Plan};
use crate::record::{End, Record, Try};
use std::collections::HashMap;

/// The gateway rejected it, so that a client may try again.
pub(super) fn is_rejected(one: &Try) -> bool {
    matches!(one.end, End::Answer { status: 429 | 503, .. })
}

/// A token bucket: full at first, filling at a rate, holding a burst at most.
struct TokenBucket {
    units: f64,
    last: Microseconds,
}

impl TokenBucket {
    fn at(&mut self, now: Microseconds, rate: f64, burst: f64) -> f64 {
        self.units = (self.units + rate * now.saturating_sub(self.last) as f64 / 1e6).min(burst);
        self.last = self.last.max(now);
        self.units
    }
}

/// Token buckets of all customers, by rate and burst of their plans.
pub(super) struct CustomerBuckets<'a> {
    plan: &'a Plan,
    by_customer: HashMap<usize, TokenBucket>,
}

impl<'a> CustomerBuckets<'a> {
    pub(super) fn new(plan: &'a Plan) -> CustomerBuckets<'a> {
        CustomerBuckets { plan, by_customer: HashMap::new() }
    }
    /// What a customer's bucket holds, and what it can.
    fn level(&mut self, customer: usize, now: Microseconds) -> (f64, f64) {
        let spec = &self.plan.scenario.plans[self.plan.customers[customer].plan];
        let burst = self.plan.burst(spec);
        let bucket = self.by_customer.entry(customer).or_insert(TokenBucket { units: burst, last: 0 });
        (bucket.at(now, spec.rate, burst), burst)
    }
    /// Takes units if they are there.
    pub(super) fn take(&mut self, customer: usize, now: Microseconds, units: f64) -> bool {
        let inside = self.level(customer, now).0 >= units;
        if inside {
            if let Some(bucket) = self.by_customer.get_mut(&customer) {
                bucket.units -= units;
            }
        }
        inside
    }
}

/// What the requests of a run used of their quotas.
#[derive(Default)]
pub(super) struct QuotaUse {
    /// By id: sent on inside the quota.
    pub(super) inside: HashMap<u64, bool>,
    /// The same of requests with a key, whose tries are one use: by arrival.
    pub(super) keyed: HashMap<usize, bool>,
    pub(super) refused: usize,
    pub(super) refused_with_room: usize,
    pub(super) beyond_units: f64,
    pub(super) beyond_cost: f64,
    pub(super) sent_units: f64,
}

/// Replays the requests in the order of time against quotas of the lab's own.
pub(super) fn quota_use(
    plan: &Plan,
    record: &Record,
    first: &HashMap<u64, Microseconds>,
    from: Microseconds,
) -> QuotaUse {
    // In the order of their times: sent on with the first attempt, or refused.
    let mut events: Vec<(Microseconds, &Try, bool)> = Vec::new();
    for one in &record.tries {
        match first.get(&one.id) {
            Some(at) => events.push((*at, one, true)),
            None if is_rejected(one) => events.push((one.ended, one, false)),
            None => {}
        }
    }
    events.sort_by_key(|(at, one, _)| (*at, one.id));
    let mut buckets = CustomerBuckets::new(plan);
    let mut all = QuotaUse::default();
    for (at, one, sent) in events {
        let arrival = &plan.arrivals[one.arrival];
        let units = f64::from(arrival.units);
        if sent && plan.keyed(arrival.class) && all.keyed.contains_key(&one.arrival) {
            // Its repeats are dropped, and are no further use.
            all.inside.insert(one.id, all.keyed[&one.arrival]);
        } else if sent {
            let inside = buckets.take(arrival.customer, at, units);
            if plan.keyed(arrival.class) {
                all.keyed.insert(one.arrival, inside);
            }
            all.inside.insert(one.id, inside);
            if at >= from {
                all.sent_units += units;
                all.beyond_units += if inside { 0.0 } else { units };
                let cost = plan.scenario.plans[plan.customers[arrival.customer].plan].over_cost;
                all.beyond_cost += if inside { 0.0 } else { cost * weight(plan, one.arrival) };
            }
        }
        let refused = is_rejected(one);
        if refused && at >= from {
            all.refused += 1;
            let (level, burst) = buckets.level(arrival.customer, at);
            all.refused_with_room += usize::from(!sent && level >= burst / 2.0);
        }
    }
    all
}
