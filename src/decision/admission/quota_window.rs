//! Periods in which a customer's units and attempts in flight are counted.

use crate::decision::hash::spread_bits;
use crate::decision::ids::CustomerId;
use crate::decision::settings::Plan;
use crate::decision::time::Micros;

/// Fraction of the burst that a window admits under a hard limit, so that two adjacent windows stay within
/// one burst.
const WINDOW_FRACTION_UNDER_HARD_LIMIT: f64 = 0.5;

/// Period of the counters of attempts in flight. Short, so that the attempts of a killed gateway soon stop
/// counting.
pub(crate) const CONCURRENCY_EPOCH: Micros = Micros(5_000_000);

/// Length of a window and the units that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaWindow {
    pub(crate) length: Micros,
    pub(crate) units: f64,
}

impl QuotaWindow {
    /// Returns the window of a plan: one burst, as long as the rate takes to refill it. Under a hard limit both
    /// are halved.
    pub(crate) fn for_plan(plan: &Plan) -> QuotaWindow {
        let fraction = if plan.hard_limit_rate > 0.0 { WINDOW_FRACTION_UNDER_HARD_LIMIT } else { 1.0 };
        let length = Micros(((plan.burst / plan.rate) * fraction * 1e6).max(1.0) as u64);
        QuotaWindow { length, units: plan.burst * fraction }
    }
}

/// One of a sequence of adjacent periods.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Period {
    pub(crate) number: u64,
    /// Time until the period ends.
    pub(crate) remaining: Micros,
}

impl Period {
    /// Returns the period of a customer that contains a time. The boundaries are shifted by the customer's hash,
    /// so that not all periods end at once.
    pub(crate) fn containing(now: Micros, customer: CustomerId, length: Micros) -> Period {
        let shifted = now.0 + spread_bits(customer.0) % length.0;
        Period { number: shifted / length.0, remaining: Micros(length.0 - shifted % length.0) }
    }
}
