//! Applies routing rules: selects the rule of a request and computes endpoint weights. Rules choose only among
//! endpoints that the retry and slow-start guards allow; they never allow an endpoint themselves.

use super::event::Arrival;
use super::hash::{hash_to_fraction, mix_bits};
use super::ids::CustomerId;
use super::load_balancing::EndpointState;
use super::routing_rules::{RouteRule, RoutingRules};
use std::rc::Rc;

/// Resolution of the canary fraction: customers are hashed into this many buckets.
const CANARY_BUCKETS: u64 = 10_000;

/// Whether a customer gets the canary rules. The result is the same at every gateway; the salt changes with each
/// rollout, so that no customer is always among the first.
pub fn has_canary_rules(rules: &RoutingRules, customer: CustomerId) -> bool {
    mix_bits(customer.0 ^ mix_bits(rules.salt)) % CANARY_BUCKETS < u64::from(rules.canary_share)
}

/// Selects the rule that a request keeps from arrival to end: the first that matches its class and plan.
pub(crate) fn select_rule(rules: &RoutingRules, arrival: &Arrival) -> Rc<RouteRule> {
    let canary = has_canary_rules(rules, arrival.customer);
    let candidates = if canary { &rules.canary } else { &rules.baseline };
    let matches_arrival = |rule: &&Rc<RouteRule>| {
        rule.class.is_none_or(|class| class == arrival.class)
            && rule.plan.is_none_or(|plan| plan == arrival.plan)
    };
    candidates.iter().find(matches_arrival).cloned().unwrap_or_default()
}

/// Weight that a rule gives an endpoint, by its zone and release label.
pub(crate) fn endpoint_weight(rule: &RouteRule, endpoint: &EndpointState) -> f64 {
    let zone = rule.zone_weights.iter().find(|(zone, _)| *zone == endpoint.zone);
    let label = rule.label_weights.iter().find(|(label, _)| *label == endpoint.label);
    zone.map_or(1.0, |(_, weight)| *weight) * label.map_or(1.0, |(_, weight)| *weight)
}

/// Whether a rule skips an endpoint in slow start for this selection, at random.
pub(crate) fn is_skipped_in_slow_start(rule: &RouteRule, endpoint: &EndpointState, salt: u64) -> bool {
    rule.slow_start_fraction
        .is_some_and(|fraction| endpoint.is_in_slow_start() && hash_to_fraction(salt) >= fraction)
}
