//! The priority weight of requests: what was asked for inside quotas, and what was earned by answers in time.

use super::quota_replay::{CustomerBuckets, QuotaUse};
use crate::plan::Plan;
use crate::record::{End, Record};
use serde::Serialize;

/// A named share.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Of what.
    pub name: String,
    /// From 0 to 1.
    pub served: f64,
}

/// The priority weight that a request offered and earned.
pub(super) struct EarnedWeight {
    /// Asked for inside quotas.
    pub(super) offered: f64,
    /// Answered in time, of that.
    pub(super) earned: f64,
}

/// The priority weight of a request: by its class, its plan's price and its units.
pub(super) fn weight(plan: &Plan, arrival: usize) -> f64 {
    let spec = &plan.arrivals[arrival];
    let price = plan.scenario.plans[plan.customers[spec.customer].plan].price;
    plan.scenario.classes[spec.class].worth * price * f64::from(spec.units)
}

/// What each arrival of the plan offered and earned, in the order of the plan.
pub(super) fn earned_weights(plan: &Plan, record: &Record, quotas: &QuotaUse) -> Vec<EarnedWeight> {
    let mut buckets = CustomerBuckets::new(plan);
    let mut all: Vec<EarnedWeight> = Vec::with_capacity(plan.arrivals.len());
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        let within = buckets.take(arrival.customer, arrival.at, f64::from(arrival.units));
        all.push(EarnedWeight { offered: if within { weight(plan, number) } else { 0.0 }, earned: 0.0 });
    }
    for one in &record.tries {
        let End::Answer { status: 200, mark: Some(_) } = one.end else { continue };
        // An answer that another try of the same request was made for is as good.
        let inside = quotas.inside.get(&one.id).or_else(|| quotas.keyed.get(&one.arrival));
        if !inside.copied().unwrap_or(false) {
            continue;
        }
        let class = &plan.scenario.classes[plan.arrivals[one.arrival].class];
        let took = one.ended.saturating_sub(plan.arrivals[one.arrival].at) as f64 / 1000.0;
        let part = match () {
            () if took <= class.aim_ms => 1.0,
            () if one.ended <= one.until => class.late_worth,
            () => 0.0,
        };
        let worth = &mut all[one.arrival];
        worth.earned = worth.earned.max(part * weight(plan, one.arrival));
    }
    all
}

/// The part of what was offered that was earned; 1 where nothing was offered.
pub(super) fn served_fraction(earned: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        (earned / offered).min(1.0)
    } else {
        1.0
    }
}

/// Sums by a key, as named shares.
pub(super) fn rows(
    worths: &[EarnedWeight],
    names: &[String],
    key: impl Fn(usize) -> Option<usize>,
) -> Vec<Row> {
    let mut sums = vec![(0.0, 0.0); names.len()];
    for (number, worth) in worths.iter().enumerate() {
        if let Some(sum) = key(number).and_then(|key| sums.get_mut(key)) {
            sum.0 += worth.earned;
            sum.1 += worth.offered;
        }
    }
    let row = |(name, (earned, offered)): (&String, (f64, f64))| Row {
        name: name.clone(),
        served: served_fraction(earned, offered),
    };
    names.iter().zip(sums).map(row).collect()
}
