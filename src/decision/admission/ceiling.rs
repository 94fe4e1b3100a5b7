//! The hard limit of a plan.

use super::customer::Customer;
use crate::decision::context::{Context, ProcessRole};
use crate::decision::settings::Plan;

impl Customer {
    /// Takes units from the part of the hard limit that exceeds the quota, and returns whether enough units
    /// were left. Plans without a hard limit always return true.
    ///
    /// Guards the hard limit where the plain quota window doesn't bound what is forwarded: when the counter
    /// doesn't reply, when a gateway relies on units that it believes were left over, and beyond the quota.
    /// Each gateway may forward only its share of the difference between hard limit and quota. Plain windows
    /// stay within the quota, so all gateways together stay within the hard limit, whatever a single gateway
    /// believes.
    pub(crate) fn try_take_above_quota(&mut self, context: &Context, plan: &Plan, units: f64) -> bool {
        if plan.hard_limit_rate <= 0.0 {
            return true;
        }
        if context.role == ProcessRole::Predecessor && units > 0.0 {
            return false; // This gateway's share belongs to the successor.
        }
        self.hard_limit_bucket.rate = (plan.hard_limit_rate - plan.rate).max(0.0) / self.gateway_count;
        self.hard_limit_bucket.capacity = (plan.hard_limit_burst - plan.burst).max(0.0) / self.gateway_count;
        self.hard_limit_bucket.try_take(context.now, units)
    }
}
