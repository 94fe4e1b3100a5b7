//! Translates the routing rules of a rollout: names of classes, plans, zones and labels become the decision module's
//! ids.

use super::Runtime;
use crate::cluster::rollout::{Arm, RolloutKey, RuleConfig};
use crate::cluster::ActiveRouting;
use crate::decision::{
    has_canary_rules, Arrival, ClassId, CustomerId, Event, PlanId, RouteRule, RoutingRules,
};
use crate::proxy::cluster_transport::outcome_recorder::RolloutAssignment;
use crate::site_settings::Site;
use std::rc::Rc;

/// Rollout whose request outcomes are counted.
pub(super) struct ActiveRollout {
    key: RolloutKey,
    /// Rules that divide the customers between baseline and canary.
    rules: RoutingRules,
}

impl ActiveRollout {
    fn arm_of(&self, customer: CustomerId) -> Arm {
        match has_canary_rules(&self.rules, customer) {
            true => Arm::Canary,
            false => Arm::Baseline,
        }
    }
}

impl Runtime {
    /// Puts other routing rules in force.
    pub(super) fn apply_routing(&mut self, in_force: ActiveRouting) {
        let ActiveRouting { key, is_counting_outcomes, baseline, canary, canary_share } = in_force;
        let rules = RoutingRules {
            baseline: route_rules(&mut self.site, baseline.0),
            canary: route_rules(&mut self.site, canary.0),
            canary_share,
            salt: key.map_or(0, |key| key.id),
        };
        self.rollout = match key {
            Some(key) if is_counting_outcomes => Some(ActiveRollout { key, rules: rules.clone() }),
            _ => None,
        };
        self.pending_events.push(Event::RoutingChanged(rules));
    }

    /// Returns the rollout, if any, for which the outcome of a request is counted.
    pub(super) fn rollout_assignment(&self, arrival: &Arrival) -> Option<RolloutAssignment> {
        let rollout = self.rollout.as_ref()?;
        Some(RolloutAssignment {
            key: rollout.key,
            arm: rollout.arm_of(arrival.customer),
            class: arrival.class,
            arrived_at: self.clock.now(),
            prior_attempts: arrival.prior_attempts.len(),
        })
    }
}

/// Translates the rules that apply to gateways of this zone.
fn route_rules(site: &mut Site, rules: Vec<RuleConfig>) -> Vec<Rc<RouteRule>> {
    let own_zone = site.settings.zone;
    let mut own_rules = Vec::new();
    for rule in rules {
        let zone = rule.zone.as_ref().map(|zone| site.zone(zone));
        if zone.is_none_or(|zone| zone == own_zone) {
            own_rules.push(rule);
        }
    }
    own_rules.into_iter().map(|rule| Rc::new(route_rule(site, rule))).collect()
}

fn route_rule(site: &mut Site, rule: RuleConfig) -> RouteRule {
    RouteRule {
        class: rule.class.and_then(|name| site.classes.get(&name).copied()).map(ClassId),
        plan: rule.plan.and_then(|name| site.plans.get(&name).copied()).map(PlanId),
        zone_weights: rule
            .zone_weights
            .iter()
            .map(|(zone, weight)| (site.zone(zone), fraction(*weight)))
            .collect(),
        label_weights: rule
            .label_weights
            .iter()
            .map(|(label, weight)| (site.label(label), fraction(*weight)))
            .collect(),
        max_attempts: rule.max_attempts.map(usize::from),
        give_up_fraction: rule.give_up_percent.map(|percent| fraction(percent.into())),
        slow_start_fraction: rule.slow_start_percent.map(|percent| fraction(percent.into())),
    }
}

fn fraction(percent: u16) -> f64 {
    f64::from(percent) / 100.0
}
