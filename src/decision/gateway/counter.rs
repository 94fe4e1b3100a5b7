//! Quota checks by the shared counters: calls to the counter service, their replies, and decisions without a total.

use super::Gateway;
use crate::decision::action::{Action, RejectionReason};
use crate::decision::admission::quota_window::QuotaWindow;
use crate::decision::admission::{CounterCall, CounterPurpose};
use crate::decision::event::Outcome;
use crate::decision::ids::{CounterKey, CustomerId, RequestId};

/// Unreported spending above this, in units, is reported by a separate call; otherwise with the next request's.
const MAX_UNREPORTED_UNITS: f64 = 0.5;
/// Units are refunded by a separate call if the quota then admits at least this many.
const MIN_USABLE_UNITS: f64 = 1.0;

impl Gateway {
    /// Checks the rate quota of a request: counts its units in the customer's quota window before it is sent.
    pub(super) fn check_quota(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (customer_id, units) = (request.arrival.customer, request.arrival.units);
        let is_retry = request.arrival.is_retry;
        let known_total = self.customers[&customer_id].window.known_total();
        let is_exhausted = self.quota_left(customer_id, known_total) < units;
        if is_exhausted && !self.counter.breaker.is_open() && known_total > 0.0 {
            // A call to the counter could only confirm that the quota is exhausted.
            return self.reject(id, RejectionReason::QuotaKnownExhausted);
        }
        if self.counter.sample_call(&mut self.rng, is_retry) && self.try_start_call(customer_id) {
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, Some(id), units);
        } else {
            self.decide_quota(id, None);
        }
    }

    /// Checks the concurrency quota of a request, if the plan has one: counts it among the customer's attempts in
    /// flight.
    pub(super) fn check_concurrency(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let customer_id = request.arrival.customer;
        if request.plan(&self.context.settings).concurrency_quota <= 0.0 {
            self.admit(id);
            // While calls fail, concurrency checks call the counter as rarely as retries do.
        } else if self.counter.sample_call(&mut self.rng, true) && self.try_start_call(customer_id) {
            self.call_counter(CounterPurpose::Concurrency, customer_id, Some(id), 1.0);
        } else {
            self.decide_concurrency(id, None);
        }
    }

    fn try_start_call(&mut self, customer_id: CustomerId) -> bool {
        let Some(customer) = self.customers.get_mut(&customer_id) else { return false };
        self.counter.try_start_call(self.context.settings.counter_enabled, self.context.now, customer)
    }

    /// Units that a customer's quota still admits, given a total of the counter.
    fn quota_left(&self, id: CustomerId, total: f64) -> f64 {
        let Some(customer) = self.customers.get(&id) else { return -total };
        let plan = &self.context.settings.plans[customer.plan.0];
        customer.quota_left(id, plan, self.context.now, total)
    }

    /// Calls the counter service to add an amount, plus all unreported spending, to a customer's counter.
    fn call_counter(
        &mut self,
        purpose: CounterPurpose,
        customer_id: CustomerId,
        request: Option<RequestId>,
        own_amount: f64,
    ) {
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        let count = match purpose {
            CounterPurpose::QuotaWindow => &mut customer.window,
            CounterPurpose::Concurrency => &mut customer.epoch,
        };
        let amount = own_amount + count.unreported;
        if amount == 0.0 && request.is_none() {
            return;
        }
        let (period, unreported_amount) = (count.period, count.take_unreported());
        let plan = &self.context.settings.plans[customer.plan.0];
        let key = purpose.key(customer_id, period);
        let lifetime = purpose.lifetime(plan);
        let is_probe = request.is_some() && (self.counter.breaker.probing || customer.breaker.probing);
        let customer = customer_id;
        let call = CounterCall { purpose, customer, period, request, amount, unreported_amount, is_probe };
        self.counter.record_call(key, call);
        if let Some(request) = request.and_then(|id| self.requests.get_mut(&id)) {
            request.pending_counter_calls += 1;
        }
        self.actions.push(Action::IncrementCounter { key, amount, lifetime });
    }

    pub(super) fn on_counter_replied(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        let Some(call) = self.counter.take_answered_call(key) else { return };
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            request.pending_counter_calls -= 1;
        }
        self.begin_periods(call.customer);
        if !self.customers.contains_key(&call.customer) {
            return;
        }
        let total = match outcome {
            Outcome::Success => Some(self.record_total(&call, total)),
            _ => {
                self.record_failed_call(&call, outcome);
                None
            }
        };
        self.record_counted_request(&call, outcome);
        if let Some(id) = call.request {
            match call.purpose {
                CounterPurpose::QuotaWindow => self.decide_quota(id, total),
                CounterPurpose::Concurrency => self.decide_concurrency(id, total),
            }
        }
        if total.is_some() && call.purpose == CounterPurpose::QuotaWindow {
            self.report_unreported_units(call.customer);
        }
        if let Some(id) = call.request {
            self.release_if_finished(id);
        }
    }

    /// Records a counter's total, and returns it plus this gateway's spending that it doesn't include yet.
    fn record_total(&mut self, call: &CounterCall, total: f64) -> f64 {
        let settings = &self.context.settings;
        let Some(customer) = self.customers.get_mut(&call.customer) else { return total };
        let burst = settings.plans[customer.plan.0].burst;
        let count = match call.purpose {
            CounterPurpose::QuotaWindow => &mut customer.window,
            CounterPurpose::Concurrency => &mut customer.epoch,
        };
        let mut total_with_own = total;
        if count.period == call.period {
            count.in_flight -= call.unreported_amount;
            count.own_counted += call.amount;
            // A total below this gateway's own additions proves that the counter lost its state. The lost
            // spending is reported again with a later call, and is added to the total here until then.
            let lost_units =
                count.lost_increments(total).filter(|_| call.purpose == CounterPurpose::QuotaWindow);
            if let Some(lost_units) = lost_units {
                count.mark_unreported(lost_units, total);
                // Other gateways may admit the lost units once more, so they are charged to the hard limit.
                customer.hard_limit_bucket.level -= lost_units;
            }
            count.last_total = total;
            total_with_own = total + count.uncounted();
        }
        let share_fits_largest_request = customer.gateway_count * settings.max_request_units <= burst;
        if share_fits_largest_request {
            customer.local_bucket = None;
        }
        self.counter.call_succeeded(customer, call.is_probe);
        total_with_own
    }

    fn record_failed_call(&mut self, call: &CounterCall, outcome: Outcome) {
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        let count = match call.purpose {
            CounterPurpose::QuotaWindow => &mut customer.window,
            CounterPurpose::Concurrency => &mut customer.epoch,
        };
        if count.period == call.period {
            count.in_flight -= call.unreported_amount;
            if outcome.never_ran() {
                count.unreported += call.unreported_amount;
            }
            if outcome == Outcome::ServerError {
                count.record_increment_without_total(call.amount);
            }
        }
        self.counter.call_failed(call.customer, customer, self.context.now, call.is_probe);
    }

    /// Records that the counter includes the request's units. It does so also after an error response, which has no
    /// total.
    fn record_counted_request(&mut self, call: &CounterCall, outcome: Outcome) {
        if !matches!(outcome, Outcome::Success | Outcome::ServerError) {
            return;
        }
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            let is_window = call.purpose == CounterPurpose::QuotaWindow;
            request.counted_in_window = is_window.then_some(call.period);
        }
    }

    fn report_unreported_units(&mut self, customer_id: CustomerId) {
        let unreported = self.customers.get(&customer_id).map_or(0.0, |customer| customer.window.unreported);
        if unreported > MAX_UNREPORTED_UNITS {
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, None, 0.0);
        }
    }

    /// Refunds the units of a request that was counted in this window and never sent.
    pub(super) fn refund_units(&mut self, customer_id: CustomerId, window: u64, units: f64) {
        self.begin_periods(customer_id);
        let now = self.context.now;
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        if customer.window.period != window {
            return;
        }
        let plan = &self.context.settings.plans[customer.plan.0];
        let total = customer.window.last_total - units;
        let usable = customer.quota_left_at_other_gateways(customer_id, plan, now, total);
        if !self.counter.breaker.is_open() && usable >= MIN_USABLE_UNITS {
            customer.window.last_total = total;
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, None, -units);
        } else {
            // No gateway could use so few units now, or the breaker is open: they are refunded with the next call.
            customer.window.unreported -= units;
        }
    }

    /// Decides whether a request is within the quota: by the counter's total, or by the local bucket if there is no
    /// total.
    fn decide_quota(&mut self, id: RequestId, total: Option<f64>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.finished) else { return };
        let (customer_id, is_retry) = (request.arrival.customer, request.arrival.is_retry);
        let is_within = match total {
            Some(total) => self.is_within_counted_quota(id, total),
            // A retry was rejected a moment ago, here or at another gateway, so only a total may admit it.
            None if is_retry && !self.counter_is_unavailable(customer_id) => false,
            None => self.is_within_local_quota(id),
        };
        if is_within {
            self.check_concurrency(id);
        } else {
            self.reject(id, RejectionReason::QuotaExceeded);
        }
    }

    fn is_within_counted_quota(&mut self, id: RequestId, total: f64) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let customer_id = request.arrival.customer;
        if self.quota_left(customer_id, total) < 0.0 {
            return false;
        }
        let plan = request.plan(&self.context.settings);
        // Within the plain window a request is not charged to the hard limit, but it is rejected while that
        // bucket is still negative because a counter lost its state.
        let is_in_plain_window = total <= QuotaWindow::for_plan(plan).units;
        let units = if is_in_plain_window { 0.0 } else { request.arrival.units };
        let Some(customer) = self.customers.get_mut(&customer_id) else { return true };
        customer.try_take_above_quota(&self.context, plan, units)
    }

    fn is_within_local_quota(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.arrival.customer) else { return false };
        let settings = &self.context.settings;
        let (plan, units) = (request.plan(settings), request.arrival.units);
        let customer_plan = &settings.plans[customer.plan.0];
        let id = request.arrival.customer;
        let is_within = customer.try_take_above_quota(&self.context, plan, units)
            && customer.try_take_from_local_bucket(
                &self.context,
                &self.lease,
                id,
                customer_plan,
                plan,
                units,
            );
        if is_within && request.counted_in_window.is_none() {
            customer.window.unreported += units;
        }
        is_within
    }

    fn counter_is_unavailable(&self, customer_id: CustomerId) -> bool {
        let customer = self.customers.get(&customer_id);
        self.counter.is_unavailable(self.context.settings.counter_enabled, customer)
    }

    /// Decides whether one more attempt is within the concurrency quota: by the counter's total, or by this gateway's
    /// share if there is no total.
    fn decide_concurrency(&mut self, id: RequestId, total: Option<f64>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (customer_id, is_finished) = (request.arrival.customer, request.finished);
        let Some(customer) = self.customers.get(&customer_id) else { return };
        let must_be_counted = request.arrival.is_retry && !self.counter_is_unavailable(customer_id);
        let plan = request.plan(&self.context.settings);
        let is_within = customer.is_within_concurrency(plan, total) && !(total.is_none() && must_be_counted);
        if is_within && !is_finished {
            self.admit(id);
        } else {
            self.reject(id, RejectionReason::ConcurrencyQuota);
        }
        self.correct_concurrency(customer_id);
    }

    /// Corrects the counter of attempts in flight if it exceeds their actual number.
    pub(super) fn correct_concurrency(&mut self, customer_id: CustomerId) {
        self.begin_periods(customer_id);
        let is_open = self.counter.breaker.is_open();
        let Some(customer) = self.customers.get_mut(&customer_id).filter(|_| !is_open) else { return };
        if let Some(surplus) = customer.concurrency_surplus() {
            customer.epoch.unreported -= surplus;
            self.call_counter(CounterPurpose::Concurrency, customer_id, None, 0.0);
        }
    }
}
