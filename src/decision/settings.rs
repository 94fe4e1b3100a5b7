//! The settings of a gateway. Some are only read and checked, and say so: no rule uses them.

use super::ids::ZoneId;
use super::time::Micros;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated.
    Idempotent,
    /// It carries an idempotency key; endpoints of one deduplication scope drop a repeat within the window.
    WithKey,
    /// It must not run twice.
    NotIdempotent,
}

/// Which endpoints drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time earns the full weight.
    pub latency_objective: Micros,
    /// How long a client waits, all attempts together.
    pub deadline: Micros,
    /// What a request is worth relative to others.
    pub priority_weight: f64,
    /// The fraction of the weight that a response after the objective earns. Only checked.
    pub late_weight_fraction: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats, where it has an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long they drop them, where it has an idempotency key.
    pub deduplication_window: Micros,
    /// The response comes as a stream.
    pub streaming: bool,
}

/// A plan. Its quota holds for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// The most units that the quota saves up.
    pub burst: f64,
    /// Attempts in flight at once; 0: no such quota.
    pub concurrency_quota: f64,
    /// Multiplies the priority weight of the class.
    pub weight_factor: f64,
    /// Fraction of the weight earned beyond the quota. Only checked.
    pub overage_weight_fraction: f64,
    /// Fraction of the weight lost by forwarding beyond the quota. Only checked.
    pub overage_cost_fraction: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// The most units that the ceiling saves up.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be overdrawn. Only checked.
    pub ceiling_overdraft: f64,
}

/// The settings of a gateway, fixed from its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub gateway_number: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be asked for their health. Only checked.
    pub health_checks: bool,
    /// Clients receive a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// The counter service may be called.
    pub counter_enabled: bool,
    /// A call to the counter ends unanswered after this. The caller sees to it.
    pub counter_timeout: Micros,
    /// The cost of the largest request in units.
    pub max_request_units: f64,
    /// Changes of the endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// An attempt whose connection is not made by then has failed; so much later than it is decided on one may be
    /// sent.
    pub connect_timeout: Micros,
    /// How long past its deadline a final answer still counts. Only checked.
    pub answer_slack: Micros,
    /// An endpoint starts at no less than this fraction of its capacity.
    pub slow_start_min_capacity: f64,
    /// An endpoint has its full capacity after this.
    pub slow_start_window: Micros,
    /// An endpoint in slow start fails when sent this many times its present capacity for a while.
    pub overload_multiple: f64,
    /// For how long that is. Only checked.
    pub overload_after: Micros,
    /// The shortest gap between two calls of the module.
    pub tick: Micros,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

impl Settings {
    /// Whether these settings make sense.
    ///
    /// # Errors
    /// Names the first setting that does not, and what was expected of it.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: &str| Err(SettingsError(what.to_string()));
        if self.gateways == 0 || self.gateway_number >= self.gateways {
            return fail("gateways: expected at least one, and this one's number below it");
        }
        if self.max_attempts == 0 {
            return fail("max_attempts: expected at least 1");
        }
        let multiples = [self.slow_start_min_capacity, self.overload_multiple, self.max_request_units];
        if !multiples.into_iter().all(is_zero_or_more) {
            return fail("cold_from, fall_multiple, most_units: expected numbers of 0 or more");
        }
        if !self.classes.iter().all(Class::is_sound) {
            return fail("class: expected a worth of 0 or more and a deadline above 0");
        }
        for plan in &self.plans {
            if !plan.has_numbers_of_zero_or_more() {
                return fail("plan: expected numbers of 0 or more");
            }
            if plan.has_rate_without_burst() {
                return fail("plan: expected a burst above 0 where there is a rate");
            }
        }
        Ok(())
    }
}

impl Class {
    fn is_sound(&self) -> bool {
        let weights = [self.priority_weight, self.late_weight_fraction];
        weights.into_iter().all(is_zero_or_more) && self.deadline.0 > 0
    }
}

impl Plan {
    fn has_numbers_of_zero_or_more(&self) -> bool {
        let ceiling = [self.ceiling_rate, self.ceiling_burst, self.ceiling_overdraft];
        let quota = [self.rate, self.burst, self.concurrency_quota];
        let weights = [self.weight_factor, self.overage_weight_fraction, self.overage_cost_fraction];
        [quota, ceiling, weights].into_iter().flatten().all(is_zero_or_more)
    }

    fn has_rate_without_burst(&self) -> bool {
        self.rate > 0.0 && self.burst <= 0.0 || self.ceiling_rate > 0.0 && self.ceiling_burst <= 0.0
    }
}

fn is_zero_or_more(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
