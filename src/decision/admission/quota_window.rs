//! Periods in which a customer's spending and attempts in flight are counted.

use crate::decision::hash::spread_bits;
use crate::decision::ids::CustomerId;
use crate::decision::settings::Plan;
use crate::decision::time::Micros;

/// Part of the burst that a window admits under a ceiling: two windows that meet then stay within one burst.
const WINDOW_FRACTION_UNDER_CEILING: f64 = 0.5;

/// The period of counters of attempts in flight. Short, so that what a killed gateway had is soon forgotten.
pub(crate) const CONCURRENCY_EPOCH: Micros = Micros(5_000_000);

/// The length of a window and the units that it admits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaWindow {
    pub(crate) length: Micros,
    pub(crate) units: f64,
}

impl QuotaWindow {
    /// One burst in the time in which the rate brings it; half of both under a ceiling.
    pub(crate) fn of(plan: &Plan) -> QuotaWindow {
        let fraction = if plan.ceiling_rate > 0.0 { WINDOW_FRACTION_UNDER_CEILING } else { 1.0 };
        let length = Micros(((plan.burst / plan.rate) * fraction * 1e6).max(1.0) as u64);
        QuotaWindow { length, units: plan.burst * fraction }
    }
}

/// One of the periods that follow each other without a gap.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Period {
    pub(crate) number: u64,
    /// Time until its end.
    pub(crate) remaining: Micros,
}

impl Period {
    /// The present period of a customer. Its edges are shifted by the customer's hash, so that not all periods
    /// end at once.
    pub(crate) fn at(now: Micros, customer: CustomerId, length: Micros) -> Period {
        let shifted = now.0 + spread_bits(customer.0) % length.0;
        Period { number: shifted / length.0, remaining: Micros(length.0 - shifted % length.0) }
    }
}
