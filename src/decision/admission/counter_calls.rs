//! Calls to the counter service that are in flight, and whether another may be made.

use super::call_fraction::CallFraction;
use super::customer::Customer;
use super::quota_window::{QuotaWindow, CONCURRENCY_EPOCH};
use crate::decision::circuit_breaker::CircuitBreaker;
use crate::decision::hash::spread_bits;
use crate::decision::ids::{CounterKey, CustomerId, RequestId};
use crate::decision::settings::Plan;
use crate::decision::time::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A counter lives for at most this time.
const LONGEST_LIFETIME: Micros = Micros(60_000_000);

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CounterPurpose {
    /// Units of a customer in one quota window.
    QuotaWindow,
    /// Attempts of a customer in flight.
    Concurrency,
}

impl CounterPurpose {
    /// The counter of a customer in one period: the same key at every gateway.
    pub(crate) fn key(self, customer: CustomerId, period: u64) -> CounterKey {
        let purpose = u64::from(self == CounterPurpose::Concurrency);
        CounterKey(spread_bits(spread_bits(customer.0) ^ spread_bits(period << 1 | purpose)) >> 1)
    }

    /// How long the counter is kept: two of its periods.
    pub(crate) fn lifetime(self, plan: &Plan) -> Micros {
        let length = match self {
            CounterPurpose::QuotaWindow => QuotaWindow::of(plan).length,
            CounterPurpose::Concurrency => CONCURRENCY_EPOCH,
        };
        (length + length).min(LONGEST_LIFETIME)
    }
}

/// One call to the counter service that is unanswered.
#[derive(Debug)]
pub(crate) struct CounterCall {
    pub(crate) purpose: CounterPurpose,
    pub(crate) customer: CustomerId,
    /// The period of the counter.
    pub(crate) period: u64,
    /// The request that waits for it.
    pub(crate) request: Option<RequestId>,
    pub(crate) amount: f64,
    /// The part of the amount that was owed before and is not the request's own.
    pub(crate) owed_amount: f64,
    /// It is a circuit breaker's probe.
    pub(crate) is_probe: bool,
}

/// This gateway's way to the counter service.
#[derive(Debug, Default)]
pub(crate) struct CounterCalls {
    pub(crate) breaker: CircuitBreaker,
    pub(crate) call_fraction: CallFraction,
    /// The customer whose call failed last, since the last success.
    last_failed: Option<CustomerId>,
    /// Calls in flight by counter; the replies of one counter come in the order of its calls.
    in_flight: BTreeMap<CounterKey, VecDeque<CounterCall>>,
}

impl CounterCalls {
    /// The counter service says nothing of this customer for a while: the local token bucket alone decides.
    pub(crate) fn is_silent(&self, counter_enabled: bool, customer: Option<&Customer>) -> bool {
        let own_open = customer.is_some_and(|customer| customer.breaker.is_open());
        !counter_enabled || self.breaker.is_open() || own_open
    }

    /// Whether a request is among the fraction that calls. With an open breaker only the probe calls, and
    /// nothing is drawn.
    pub(crate) fn draws_call(&self, rng: &mut fastrand::Rng, is_retry: bool) -> bool {
        self.breaker.is_open() || rng.f64() < self.call_fraction.probability(is_retry)
    }

    /// Asks both circuit breakers for leave to call; with it, the call is as good as made.
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

    /// Remembers a call until its reply.
    pub(crate) fn sent(&mut self, key: CounterKey, call: CounterCall) {
        self.in_flight.entry(key).or_default().push_back(call);
    }

    /// The call that a reply ends.
    pub(crate) fn replied(&mut self, key: CounterKey) -> Option<CounterCall> {
        let calls = self.in_flight.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.in_flight.remove(&key);
        }
        call
    }

    /// A call succeeded.
    pub(crate) fn call_succeeded(&mut self, customer: &mut Customer, was_probe: bool) {
        customer.breaker.call_succeeded(was_probe);
        self.call_fraction.call_succeeded(was_probe);
        self.last_failed = None;
        self.breaker.call_succeeded(was_probe);
    }

    /// A call failed. Guards against one busy counter that overloads its part of the service: failures of one
    /// customer in a row count once for the common breaker, while that customer's own breaker opens.
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
