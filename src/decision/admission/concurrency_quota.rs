//! The quota of attempts in flight.

use super::customer::Customer;
use crate::decision::settings::Plan;

/// The counter is corrected when it holds more than this beyond the attempts in flight.
const SURPLUS_TOLERANCE: f64 = 0.5;

impl Customer {
    /// Whether one more attempt is within the plan: by the counter's total, which includes it, or else within this
    /// gateway's share of the quota, at least one.
    pub(crate) fn is_within_concurrency(&self, plan: &Plan, total: Option<f64>) -> bool {
        match total {
            Some(total) => total <= plan.concurrency_quota,
            None => self.in_flight < (plan.concurrency_quota / self.spread).floor().max(1.0),
        }
    }

    /// How many attempts the counter holds for this gateway beyond those in flight, where it is to be corrected.
    pub(crate) fn concurrency_surplus(&self) -> Option<f64> {
        Some(self.epoch.own_total() - self.in_flight).filter(|surplus| *surplus > SURPLUS_TOLERANCE)
    }
}
