//! Rules of routing: who has the new ones, and what they weigh. They choose among what the guards allow, and
//! allow nothing themselves.

use crate::decision::api::*;
use crate::decision::gateway::Gateway;
use crate::decision::state::{mix, Request, Server};
use std::rc::Rc;

/// Whether a customer has the new rules: the same at every gateway, and no customer always among the first.
pub fn has_new(routing: &RoutingRules, customer: CustomerId) -> bool {
    mix(customer.0 ^ mix(routing.salt)) % 10_000 < u64::from(routing.share)
}

impl Gateway {
    /// How a request is routed from its arrival to its end.
    pub(super) fn route_of(&self, a: &Arrival) -> Rc<RouteRule> {
        let rules = if has_new(&self.routing, a.customer) { &self.routing.new } else { &self.routing.old };
        let fits = |r: &&Rc<RouteRule>| {
            r.class.is_none_or(|class| class == a.class) && r.plan.is_none_or(|plan| plan == a.plan)
        };
        rules.iter().find(fits).cloned().unwrap_or_default()
    }

    /// The most attempts of a request: never more than the site's.
    pub(super) fn most_attempts(&self, r: &Request) -> usize {
        r.route.attempts.map_or(self.set.max_attempts, |most| most.min(self.set.max_attempts))
    }
}

impl RouteRule {
    pub(super) fn weight(&self, s: &Server) -> f64 {
        let zone = self.zones.iter().find(|(zone, _)| *zone == s.zone).map_or(1.0, |(_, w)| *w);
        zone * self.labels.iter().find(|(label, _)| *label == s.label).map_or(1.0, |(_, w)| *w)
    }

    /// A cold server is left out this time, by chance.
    pub(super) fn spares(&self, s: &Server, salt: u64) -> bool {
        self.cold.is_some_and(|part| s.cold_since.is_some() && mix(salt) as f64 / u64::MAX as f64 >= part)
    }
}
