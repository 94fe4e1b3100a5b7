//! Routing rules that operators roll out. Rules only weight endpoints that may be selected without them.

use super::ids::{ClassId, LabelId, PlanId, ZoneId};
use std::rc::Rc;

/// How the requests of one class or plan are routed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRule {
    /// Class of the requests that the rule matches; `None`: all classes.
    pub class: Option<ClassId>,
    /// Plan of the customers that the rule matches; `None`: all plans.
    pub plan: Option<PlanId>,
    /// Endpoint weights by zone; 1 for other zones.
    pub zone_weights: Vec<(ZoneId, f64)>,
    /// Endpoint weights by release label; 1 for other labels.
    pub label_weights: Vec<(LabelId, f64)>,
    /// Maximum number of attempts; the settings' maximum still applies.
    pub max_attempts: Option<usize>,
    /// Fraction of the latency objective after which an attempt at an endpoint that failed recently is given up.
    pub give_up_fraction: Option<f64>,
    /// Fraction of the requests allowed by slow start that an endpoint in slow start is selected for.
    pub slow_start_fraction: Option<f64>,
}

/// The routing rules in force: baseline rules for most customers, canary rules for a fraction of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingRules {
    /// Rules of the baseline customers; the first that matches a request applies.
    pub baseline: Vec<Rc<RouteRule>>,
    /// Rules of the canary customers; the first that matches a request applies.
    pub canary: Vec<Rc<RouteRule>>,
    /// Number of customers in 10,000 that get the canary rules.
    pub canary_share: u16,
    /// Hash salt that selects the canary customers: the same at every gateway, different in each rollout.
    pub salt: u64,
}
