//! The fraction of requests that call the counter service.

/// Factors by which the fraction changes after a failed and after a successful call.
const FACTOR_AFTER_FAILURE: f64 = 0.8;
const FACTOR_AFTER_SUCCESS: f64 = 1.02;
/// Lower bound of the fraction.
pub(crate) const MIN_CALL_FRACTION: f64 = 0.05;
/// Lower bound of the fraction after a successful probe of the circuit breaker.
const FRACTION_AFTER_PROBE: f64 = 0.5;
/// Power to which the fraction is raised for retries.
const RETRY_EXPONENT: i32 = 3;

/// Guards against a counter service that this gateway's own calls overload while the service is slow or near
/// its capacity: while calls fail, only a fraction of the requests call the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallFraction(pub(crate) f64);

impl Default for CallFraction {
    fn default() -> CallFraction {
        CallFraction(1.0)
    }
}

impl CallFraction {
    /// Returns the probability that a request calls. Retries are the least likely to call, because they were
    /// rejected a moment ago.
    pub(crate) fn probability(self, is_retry: bool) -> f64 {
        self.0.powi(if is_retry { RETRY_EXPONENT } else { 1 })
    }

    /// Decreases the fraction after a failed call.
    pub(crate) fn call_failed(&mut self) {
        self.0 = (self.0 * FACTOR_AFTER_FAILURE).max(MIN_CALL_FRACTION);
    }

    /// Increases the fraction after a successful call.
    pub(crate) fn call_succeeded(&mut self, was_probe: bool) {
        let lower_bound = if was_probe { FRACTION_AFTER_PROBE } else { 0.0 };
        self.0 = (self.0 * FACTOR_AFTER_SUCCESS).min(1.0).max(lower_bound);
    }
}
