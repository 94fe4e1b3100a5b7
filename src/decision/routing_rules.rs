//! Routing rules as operators roll them out. Rules only weigh endpoints that may be chosen anyway.

use super::ids::{ClassId, LabelId, PlanId, ZoneId};
use std::rc::Rc;

/// How requests of one kind are routed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRule {
    /// Only requests of this class.
    pub class: Option<ClassId>,
    /// Only customers of this plan.
    pub plan: Option<PlanId>,
    /// Weights of endpoints by zone; 1 where none is named.
    pub zone_weights: Vec<(ZoneId, f64)>,
    /// Weights of endpoints by release label; 1 where none is named.
    pub label_weights: Vec<(LabelId, f64)>,
    /// The most attempts, within the settings' bound.
    pub max_attempts: Option<usize>,
    /// An attempt at an endpoint that failed recently is given up after this fraction of the latency objective.
    pub give_up_fraction: Option<f64>,
    /// The fraction of the requests that an endpoint in slow start could get that it does get.
    pub slow_start_fraction: Option<f64>,
}

/// The routing rules in force: those of most customers, and those of a canary fraction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingRules {
    /// Rules of most customers; the first that fits a request counts.
    pub baseline: Vec<Rc<RouteRule>>,
    /// Rules of the canary customers; the first that fits a request counts.
    pub canary: Vec<Rc<RouteRule>>,
    /// How many of 10,000 customers have the canary rules.
    pub canary_share: u16,
    /// Selects the canary customers: the same ones at every gateway, others in each rollout.
    pub salt: u64,
}
