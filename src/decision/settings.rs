//! Settings of a gateway. Fields marked "Validated only" are used by no rule.

use super::ids::ZoneId;
use super::time::Micros;

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated.
    Idempotent,
    /// The request has an idempotency key. Endpoints of one deduplication scope drop repeats within the window.
    WithKey,
    /// The request must not run twice.
    NotIdempotent,
}

/// Endpoints that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which a response earns the full weight.
    pub latency_objective: Micros,
    /// Time that a client waits for a response, over all attempts.
    pub deadline: Micros,
    /// Priority weight of a request relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the objective earns. Validated only.
    pub late_weight_fraction: f64,
    /// Whether requests of this class may be run more than once.
    pub idempotency: Idempotency,
    /// Endpoints that drop repeats; applies to requests with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Time within which repeats are dropped; applies to requests with an idempotency key.
    pub deduplication_window: Micros,
    /// Whether the response is streamed.
    pub streaming: bool,
}

/// A plan. Its quota applies to each customer, over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Quota in units per second; 0: no rate quota.
    pub rate: f64,
    /// Burst size of the quota, in units.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0: no concurrency quota.
    pub concurrency_quota: f64,
    /// Factor applied to the priority weight of the class.
    pub weight_factor: f64,
    /// Fraction of the weight earned beyond the quota. Validated only.
    pub overage_weight_fraction: f64,
    /// Fraction of the weight lost by forwarding beyond the quota. Validated only.
    pub overage_cost_fraction: f64,
    /// Rate of the hard limit, in units per second; 0: no hard limit.
    pub hard_limit_rate: f64,
    /// Burst size of the hard limit, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit may be overdrawn. Validated only.
    pub hard_limit_overdraft: f64,
}

/// Settings of a gateway. They do not change while it runs.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of this gateway, from 0.
    pub gateway_number: u32,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether health checks may be sent to endpoints. Validated only.
    pub health_checks: bool,
    /// Whether clients are sent a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Whether the counter service may be called.
    pub counter_enabled: bool,
    /// Time-out of a call to the counter. The caller of this module enforces it.
    pub counter_timeout: Micros,
    /// Cost of the largest request, in units.
    pub max_request_units: f64,
    /// Whether the gateway must subscribe to changes of the endpoint list.
    pub must_subscribe: bool,
    /// Time-out for opening a connection. An attempt may be sent this much later than it was decided on.
    pub connect_timeout: Micros,
    /// Time past the deadline within which a final answer still counts. Validated only.
    pub answer_slack: Micros,
    /// Fraction of its capacity that a newly started endpoint has at least.
    pub slow_start_min_capacity: f64,
    /// Time after its start at which an endpoint has its full capacity.
    pub slow_start_window: Micros,
    /// Multiple of its current capacity at which an endpoint in slow start fails if the load lasts.
    pub overload_multiple: f64,
    /// How long such a load lasts before the endpoint fails. Validated only.
    pub overload_after: Micros,
    /// Shortest interval between two calls of the module.
    pub tick: Micros,
}

/// The settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first invalid setting and the values that are allowed.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |expected: &str| Err(SettingsError(expected.to_string()));
        if self.gateways == 0 || self.gateway_number >= self.gateways {
            return invalid("gateways: expected at least one, and this one's number below it");
        }
        if self.max_attempts == 0 {
            return invalid("max_attempts: expected at least 1");
        }
        let multiples = [self.slow_start_min_capacity, self.overload_multiple, self.max_request_units];
        if !multiples.into_iter().all(is_finite_and_not_negative) {
            return invalid("cold_from, fall_multiple, most_units: expected numbers of 0 or more");
        }
        if !self.classes.iter().all(Class::is_valid) {
            return invalid("class: expected a worth of 0 or more and a deadline above 0");
        }
        for plan in &self.plans {
            if !plan.has_valid_numbers() {
                return invalid("plan: expected numbers of 0 or more");
            }
            if plan.has_rate_without_burst() {
                return invalid("plan: expected a burst above 0 where there is a rate");
            }
        }
        Ok(())
    }
}

impl Class {
    fn is_valid(&self) -> bool {
        let weights = [self.priority_weight, self.late_weight_fraction];
        weights.into_iter().all(is_finite_and_not_negative) && self.deadline.0 > 0
    }
}

impl Plan {
    fn has_valid_numbers(&self) -> bool {
        let hard_limit = [self.hard_limit_rate, self.hard_limit_burst, self.hard_limit_overdraft];
        let quota = [self.rate, self.burst, self.concurrency_quota];
        let weights = [self.weight_factor, self.overage_weight_fraction, self.overage_cost_fraction];
        [quota, hard_limit, weights].into_iter().flatten().all(is_finite_and_not_negative)
    }

    fn has_rate_without_burst(&self) -> bool {
        self.rate > 0.0 && self.burst <= 0.0 || self.hard_limit_rate > 0.0 && self.hard_limit_burst <= 0.0
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
