//! Calls in flight to the counter service, and whether another call may be made.

use super::call_fraction::CallFraction;
use super::customer::Customer;
use super::quota_window::{QuotaWindow, CONCURRENCY_EPOCH};
use crate::decision::circuit_breaker::CircuitBreaker;
use crate::decision::hash::spread_bits;
use crate::decision::ids::{CounterKey, CustomerId, RequestId};
use crate::decision::settings::Plan;
use crate::decision::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// Maximum lifetime of a counter.
const MAX_LIFETIME: Micros = Micros(60_000_000);

/// Kind of shared counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterPurpose {
    /// Units of a customer in one quota window.
    QuotaWindow,
    /// Attempts of a customer in flight.
    Concurrency,
}

impl CounterPurpose {
    /// Returns the key of a customer's counter in one period, which is the same at every gateway.
    pub(crate) fn key(self, customer: CustomerId, period: u64) -> CounterKey {
        let purpose = u64::from(self == CounterPurpose::Concurrency);
        CounterKey(spread_bits(spread_bits(customer.0) ^ spread_bits(period << 1 | purpose)) >> 1)
    }

    /// Returns how long the counter is kept: two of its periods, up to the maximum lifetime.
    pub(crate) fn lifetime(self, plan: &Plan) -> Micros {
        let length = match self {
            CounterPurpose::QuotaWindow => QuotaWindow::for_plan(plan).length,
            CounterPurpose::Concurrency => CONCURRENCY_EPOCH,
        };
        (length + length).min(MAX_LIFETIME)
    }
}

/// A call to the counter service that has no reply yet.
#[derive(Debug)]
pub(crate) struct CounterCall {
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// Period of the counter.
    pub(crate) period: u64,
    /// The request that waits for the reply.
    pub(crate) request: Option<RequestId>,
    pub(crate) amount: f64,
    /// Part of the amount that earlier requests left unreported.
    pub(crate) unreported_amount: f64,
    /// Whether the call is a circuit breaker's probe.
    pub(crate) is_probe: bool,
}

/// This gateway's calls to the counter service, with the guards that limit them.
#[derive(Debug, Default)]
pub(crate) struct CounterCalls {
    pub(crate) breaker: CircuitBreaker,
    pub(crate) call_fraction: CallFraction,
    /// The customer of the last failed call, if no call has succeeded since.
    last_failed: Option<CustomerId>,
    /// Calls in flight by counter, in the order in which they were sent. The replies of one counter arrive in
    /// the order of its calls.
    in_flight: BTreeMap<CounterKey, VecDeque<CounterCall>>,
}

impl CounterCalls {
    /// Returns whether the counter service is not used for this customer for now, so that the local token
    /// bucket alone decides.
    pub(crate) fn is_unavailable(&self, counter_enabled: bool, customer: Option<&Customer>) -> bool {
        let customer_open = customer.is_some_and(|customer| customer.breaker.is_open());
        !counter_enabled || self.breaker.is_open() || customer_open
    }

    /// Returns whether a request is in the random sample that calls. While the breaker is open, only the probe
    /// calls and no random number is drawn.
    pub(crate) fn sample_call(&self, rng: &mut fastrand::Rng, is_retry: bool) -> bool {
        self.breaker.is_open() || rng.f64() < self.call_fraction.probability(is_retry)
    }

    /// Returns whether both circuit breakers allow a call. If they do, the call counts as started.
    pub(crate) fn try_start_call(
        &mut self,
        counter_enabled: bool,
        now: Micros,
        customer: &mut Customer,
    ) -> bool {
        let allowed = counter_enabled && self.breaker.allows_call(now) && customer.breaker.allows_call(now);
        if allowed {
            self.breaker.call_started();
            customer.breaker.call_started();
        }
        allowed
    }

    /// Records a call until its reply arrives.
    pub(crate) fn record_call(&mut self, key: CounterKey, call: CounterCall) {
        self.in_flight.entry(key).or_default().push_back(call);
    }

    /// Removes and returns the call that a reply answers: the oldest of its counter.
    pub(crate) fn take_answered_call(&mut self, key: CounterKey) -> Option<CounterCall> {
        let calls = self.in_flight.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.in_flight.remove(&key);
        }
        call
    }

    /// Records a successful call.
    pub(crate) fn call_succeeded(&mut self, customer: &mut Customer, was_probe: bool) {
        customer.breaker.call_succeeded(was_probe);
        self.call_fraction.call_succeeded(was_probe);
        self.last_failed = None;
        self.breaker.call_succeeded(was_probe);
    }

    /// Records a failed call. Guards against one busy counter that overloads its part of the service:
    /// successive failures of one customer count once for the common breaker, while that customer's own
    /// breaker opens.
    pub(crate) fn call_failed(
        &mut self,
        id: CustomerId,
        customer: &mut Customer,
        now: Micros,
        was_probe: bool,
    ) {
        self.call_fraction.call_failed();
        if self.last_failed != Some(id) || was_probe {
            self.breaker.call_failed(now, was_probe);
        }
        self.last_failed = Some(id);
        customer.breaker.call_failed(now, was_probe);
    }
}
