//! Routing rules: which one a request has, and what it weighs. Rules choose among what the guards allow, and allow
//! nothing themselves.

use super::event::Arrival;
use super::hash::{fraction_of, spread_bits};
use super::ids::CustomerId;
use super::load_balancing::EndpointState;
use super::routing_rules::{RouteRule, RoutingRules};
use std::rc::Rc;

/// Customers are dealt out in this many parts.
const CANARY_PARTS: u64 = 10_000;

/// Whether a customer has the canary rules: the same at every gateway, and no customer always among the first.
pub fn has_canary_rules(rules: &RoutingRules, customer: CustomerId) -> bool {
    spread_bits(customer.0 ^ spread_bits(rules.salt)) % CANARY_PARTS < u64::from(rules.canary_share)
}

/// The rule of a request, from its arrival to its end: the first that fits.
pub(crate) fn rule_of(rules: &RoutingRules, arrival: &Arrival) -> Rc<RouteRule> {
    let canary = has_canary_rules(rules, arrival.customer);
    let candidates = if canary { &rules.canary } else { &rules.baseline };
    let fits = |rule: &&Rc<RouteRule>| {
        rule.class.is_none_or(|class| class == arrival.class)
            && rule.plan.is_none_or(|plan| plan == arrival.plan)
    };
    candidates.iter().find(fits).cloned().unwrap_or_default()
}

/// The weight that a rule gives an endpoint.
pub(crate) fn weight_of(rule: &RouteRule, endpoint: &EndpointState) -> f64 {
    let zone = rule.zone_weights.iter().find(|(zone, _)| *zone == endpoint.zone);
    let label = rule.label_weights.iter().find(|(label, _)| *label == endpoint.label);
    zone.map_or(1.0, |(_, weight)| *weight) * label.map_or(1.0, |(_, weight)| *weight)
}

/// Whether a rule leaves out an endpoint in slow start this time, by chance.
pub(crate) fn is_spared(rule: &RouteRule, endpoint: &EndpointState, salt: u64) -> bool {
    rule.slow_start_fraction
        .is_some_and(|fraction| endpoint.is_in_slow_start() && fraction_of(salt) >= fraction)
}
