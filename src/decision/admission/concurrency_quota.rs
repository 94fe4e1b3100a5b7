//! The quota of attempts in flight.

use super::customer::Customer;
use crate::decision::settings::Plan;

/// The counter is corrected when it exceeds the attempts in flight by more than this.
const SURPLUS_TOLERANCE: f64 = 0.5;

impl Customer {
    /// Returns whether one more attempt is within the plan. Uses the counter's total, which includes the
    /// attempt; without a total, this gateway's share of the quota, which is at least one attempt.
    pub(crate) fn is_within_concurrency(&self, plan: &Plan, total: Option<f64>) -> bool {
        match total {
            Some(total) => total <= plan.concurrency_quota,
            None => self.in_flight < (plan.concurrency_quota / self.gateway_count).floor().max(1.0),
        }
    }

    /// Returns how many attempts the counter holds for this gateway beyond those in flight, if the counter
    /// must be corrected.
    pub(crate) fn concurrency_surplus(&self) -> Option<f64> {
        Some(self.epoch.own_total() - self.in_flight).filter(|surplus| *surplus > SURPLUS_TOLERANCE)
    }
}
