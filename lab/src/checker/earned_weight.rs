//! Priority weight of requests: the weight offered within quotas, and the weight earned by answers in time.

use super::quota_replay::{CustomerBuckets, QuotaUse};
use crate::plan::Plan;
use crate::record::{End, Record};
use serde::Serialize;

/// Served fraction of a plan, class or zone.
#[derive(Debug, Clone, Serialize)]
pub struct ServedByName {
    /// Name of the plan, class or zone.
    pub name: String,
    /// Served fraction, from 0 to 1.
    pub served: f64,
}

/// Priority weight that a request offered and earned.
pub(super) struct EarnedWeight {
    /// Weight of the request if it was within its customer's quota, else 0.
    pub(super) offered: f64,
    /// Part of the weight that was earned by an answer in time.
    pub(super) earned: f64,
}

/// Returns the priority weight of a request: class weight times plan price times units.
pub(super) fn weight(plan: &Plan, arrival: usize) -> f64 {
    let spec = &plan.arrivals[arrival];
    let price = plan.scenario.plans[plan.customers[spec.customer].plan].price;
    plan.scenario.classes[spec.class].worth * price * f64::from(spec.units)
}

/// Returns the weight that each arrival of the plan offered and earned, in the order of the plan.
pub(super) fn earned_weights(plan: &Plan, record: &Record, quotas: &QuotaUse) -> Vec<EarnedWeight> {
    let mut buckets = CustomerBuckets::new(plan);
    let mut weights: Vec<EarnedWeight> = Vec::with_capacity(plan.arrivals.len());
    for (number, arrival) in plan.arrivals.iter().enumerate() {
        let within_quota = buckets.take(arrival.customer, arrival.at, f64::from(arrival.units));
        weights.push(EarnedWeight {
            offered: if within_quota { weight(plan, number) } else { 0.0 },
            earned: 0.0,
        });
    }
    for client_attempt in &record.tries {
        let End::Answer { status: 200, mark: Some(_) } = client_attempt.end else { continue };
        // With an idempotency key, the answer made for another attempt of the same request counts as well.
        let within_quota = quotas
            .within_quota
            .get(&client_attempt.id)
            .or_else(|| quotas.within_quota_by_arrival.get(&client_attempt.arrival));
        if !within_quota.copied().unwrap_or(false) {
            continue;
        }
        let class = &plan.scenario.classes[plan.arrivals[client_attempt.arrival].class];
        let elapsed_ms =
            client_attempt.ended.saturating_sub(plan.arrivals[client_attempt.arrival].at) as f64 / 1000.0;
        let earned_fraction = match () {
            () if elapsed_ms <= class.aim_ms => 1.0,
            () if client_attempt.ended <= client_attempt.until => class.late_worth,
            () => 0.0,
        };
        let earned_weight = &mut weights[client_attempt.arrival];
        earned_weight.earned =
            earned_weight.earned.max(earned_fraction * weight(plan, client_attempt.arrival));
    }
    weights
}

/// Returns the earned fraction of the offered weight; 1 if none was offered.
pub(super) fn served_fraction(earned: f64, offered: f64) -> f64 {
    if offered > 0.0 {
        (earned / offered).min(1.0)
    } else {
        1.0
    }
}

/// Returns the served fraction by name; `key` gives the index of a request's name, or `None` to leave it out.
pub(super) fn served_by_name(
    weights: &[EarnedWeight],
    names: &[String],
    key: impl Fn(usize) -> Option<usize>,
) -> Vec<ServedByName> {
    let mut sums = vec![(0.0, 0.0); names.len()];
    for (number, earned_weight) in weights.iter().enumerate() {
        if let Some(sum) = key(number).and_then(|key| sums.get_mut(key)) {
            sum.0 += earned_weight.earned;
            sum.1 += earned_weight.offered;
        }
    }
    let to_fraction = |(name, (earned, offered)): (&String, (f64, f64))| ServedByName {
        name: name.clone(),
        served: served_fraction(earned, offered),
    };
    names.iter().zip(sums).map(to_fraction).collect()
}
