//! Rules of routing: who has the new ones, and what they weigh. They choose among what the guards allow, and
//! allow nothing themselves.

use crate::decision::gateway::Gateway;
use crate::decision::state::{mix, Request, Server};
use crate::decision::*;
use std::rc::Rc;

/// Whether a customer has the new rules: the same at every gateway, and no customer always among the first.
pub fn has_canary_rules(routing: &RoutingRules, customer: CustomerId) -> bool {
    mix(customer.0 ^ mix(routing.salt)) % 10_000 < u64::from(routing.canary_share)
}

impl Gateway {
    /// How a request is routed from its arrival to its end.
    pub(super) fn route_of(&self, a: &Arrival) -> Rc<RouteRule> {
        let rules = if has_canary_rules(&self.routing, a.customer) {
            &self.routing.canary
        } else {
            &self.routing.baseline
        };
        let fits = |r: &&Rc<RouteRule>| {
            r.class.is_none_or(|class| class == a.class) && r.plan.is_none_or(|plan| plan == a.plan)
        };
        rules.iter().find(fits).cloned().unwrap_or_default()
    }

    /// The most attempts of a request: never more than the site's.
    pub(super) fn most_attempts(&self, r: &Request) -> usize {
        r.route.max_attempts.map_or(self.set.max_attempts, |most| most.min(self.set.max_attempts))
    }
}

impl RouteRule {
    pub(super) fn weight(&self, s: &Server) -> f64 {
        let zone = self.zone_weights.iter().find(|(zone, _)| *zone == s.zone).map_or(1.0, |(_, w)| *w);
        zone * self.label_weights.iter().find(|(label, _)| *label == s.label).map_or(1.0, |(_, w)| *w)
    }

    /// A cold server is left out this time, by chance.
    pub(super) fn spares(&self, s: &Server, salt: u64) -> bool {
        self.slow_start_fraction
            .is_some_and(|part| s.cold_since.is_some() && mix(salt) as f64 / u64::MAX as f64 >= part)
    }
}
