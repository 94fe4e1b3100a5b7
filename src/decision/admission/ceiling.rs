//! The hard ceiling of a plan.

use super::customer::Customer;
use crate::decision::context::{Context, ProcessRole};
use crate::decision::settings::Plan;

impl Customer {
    /// Takes units from what the ceiling holds above the quota, and returns whether there were as many. Plans
    /// without a ceiling have no such bound.
    ///
    /// Guards the ceiling wherever the plain quota window does not speak for what is forwarded: without a reply of
    /// the counter, by what a gateway believes was left over, or beyond the quota. Each gateway may
    /// forward only its share of what the ceiling holds above the quota; plain windows stay within the quota, so
    /// the sum keeps the ceiling whatever single gateways believe.
    pub(crate) fn take_above_quota(&mut self, context: &Context, plan: &Plan, units: f64) -> bool {
        if plan.ceiling_rate <= 0.0 {
            return true;
        }
        if context.role == ProcessRole::Predecessor && units > 0.0 {
            return false; // This gateway's share is the successor's.
        }
        self.ceiling_bucket.rate = (plan.ceiling_rate - plan.rate).max(0.0) / self.spread;
        self.ceiling_bucket.capacity = (plan.ceiling_burst - plan.burst).max(0.0) / self.spread;
        self.ceiling_bucket.try_take(context.now, units)
    }
}
