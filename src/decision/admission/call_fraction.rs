//! The fraction of requests that call the counter service.

/// What a failed call leaves of the fraction, and what a successful one multiplies it by.
const FACTOR_AFTER_FAILURE: f64 = 0.8;
const GROWTH_BY_SUCCESS: f64 = 1.02;
/// The fraction never falls below this.
pub(crate) const LEAST_CALL_FRACTION: f64 = 0.05;
/// The least fraction after a successful probe of the circuit breaker.
const FRACTION_AFTER_PROBE: f64 = 0.5;
/// The fraction of retries that call is the fraction of other requests to this power.
const RETRY_EXPONENT: i32 = 3;

/// Guards against a counter service that this gateway's own calls overload while it is slow or near its capacity:
/// while calls fail, only a fraction of the requests call it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallFraction(pub(crate) f64);

impl Default for CallFraction {
    fn default() -> CallFraction {
        CallFraction(1.0)
    }
}

impl CallFraction {
    /// The probability that a request calls. Retries call last, as they were rejected a moment ago.
    pub(crate) fn probability(self, is_retry: bool) -> f64 {
        self.0.powi(if is_retry { RETRY_EXPONENT } else { 1 })
    }

    /// A call failed.
    pub(crate) fn call_failed(&mut self) {
        self.0 = (self.0 * FACTOR_AFTER_FAILURE).max(LEAST_CALL_FRACTION);
    }

    /// A call succeeded.
    pub(crate) fn call_succeeded(&mut self, was_probe: bool) {
        let least = if was_probe { FRACTION_AFTER_PROBE } else { 0.0 };
        self.0 = (self.0 * GROWTH_BY_SUCCESS).min(1.0).max(least);
    }
}
