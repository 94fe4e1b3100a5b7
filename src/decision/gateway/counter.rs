//! Quotas by the shared counters: calls to the counter service, their replies, and decisions without one.

use super::Gateway;
use crate::decision::action::{Action, RejectionReason};
use crate::decision::admission::quota_window::QuotaWindow;
use crate::decision::admission::{CounterCall, CounterPurpose};
use crate::decision::event::Outcome;
use crate::decision::ids::{CounterKey, CustomerId, RequestId};

/// What is owed to a counter is paid by a call of its own if it is more than this, in units.
const LEAST_OWED_UNITS: f64 = 0.5;
/// Units are given back by a call of their own if the quota then admits at least this many.
const LEAST_USABLE_UNITS: f64 = 1.0;

impl Gateway {
    /// The ordinary path: the request's units are counted in its customer's window before it is sent.
    pub(super) fn ask_quota(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let (customer_id, units) = (request.arrival.customer, request.arrival.units);
        let is_retry = request.arrival.is_retry;
        let known = self.customers[&customer_id].window.known_total();
        let is_exhausted = self.quota_left(customer_id, known) < units;
        if is_exhausted && !self.counter.breaker.is_open() && known > 0.0 {
            // A call could only confirm it.
            return self.reject(id, RejectionReason::QuotaKnownExhausted);
        }
        if self.counter.draws_call(&mut self.rng, is_retry) && self.try_start_call(customer_id) {
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, Some(id), units);
        } else {
            self.decide_quota(id, None);
        }
    }

    /// Counts the request among its customer's attempts in flight, where the plan has a quota of them.
    pub(super) fn ask_concurrency(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let customer_id = request.arrival.customer;
        if request.plan(&self.context.settings).concurrency_quota <= 0.0 {
            self.admit(id);
            // The concurrency quota calls as seldom as retries do while calls fail.
        } else if self.counter.draws_call(&mut self.rng, true) && self.try_start_call(customer_id) {
            self.call_counter(CounterPurpose::Concurrency, customer_id, Some(id), 1.0);
        } else {
            self.decide_concurrency(id, None);
        }
    }

    fn try_start_call(&mut self, customer_id: CustomerId) -> bool {
        let Some(customer) = self.customers.get_mut(&customer_id) else { return false };
        self.counter.try_start_call(self.context.settings.counter_enabled, self.context.now, customer)
    }

    /// What a customer's quota still admits by a total of its counter, in units.
    fn quota_left(&self, id: CustomerId, total: f64) -> f64 {
        let Some(customer) = self.customers.get(&id) else { return -total };
        let plan = &self.context.settings.plans[customer.plan.0];
        customer.quota_left(id, plan, self.context.now, total)
    }

    /// Adds an amount, and all that is owed, to a customer's counter.
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
        let amount = own_amount + count.owed;
        if amount == 0.0 && request.is_none() {
            return;
        }
        let (period, owed_amount) = (count.period, count.carry_owed());
        let plan = &self.context.settings.plans[customer.plan.0];
        let key = purpose.key(customer_id, period);
        let lifetime = purpose.lifetime(plan);
        let is_probe = request.is_some() && (self.counter.breaker.probing || customer.breaker.probing);
        let customer = customer_id;
        let call = CounterCall { purpose, customer, period, request, amount, owed_amount, is_probe };
        self.counter.sent(key, call);
        if let Some(request) = request.and_then(|id| self.requests.get_mut(&id)) {
            request.pending_counter_calls += 1;
        }
        self.actions.push(Action::IncrementCounter { key, amount, lifetime });
    }

    pub(super) fn on_counter_replied(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        let Some(call) = self.counter.replied(key) else { return };
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            request.pending_counter_calls -= 1;
        }
        self.begin_periods(call.customer);
        if !self.customers.contains_key(&call.customer) {
            return;
        }
        let total = match outcome {
            Outcome::Success => Some(self.note_total(&call, total)),
            _ => {
                self.note_failed_call(&call, outcome);
                None
            }
        };
        self.note_counted_request(&call, outcome);
        if let Some(id) = call.request {
            match call.purpose {
                CounterPurpose::QuotaWindow => self.decide_quota(id, total),
                CounterPurpose::Concurrency => self.decide_concurrency(id, total),
            }
        }
        if total.is_some() && call.purpose == CounterPurpose::QuotaWindow {
            self.pay_owed_units(call.customer);
        }
        if let Some(id) = call.request {
            self.release_if_over(id);
        }
    }

    /// Notes a counter's total; returns it with own spending that it does not hold yet.
    fn note_total(&mut self, call: &CounterCall, total: f64) -> f64 {
        let settings = &self.context.settings;
        let Some(customer) = self.customers.get_mut(&call.customer) else { return total };
        let burst = settings.plans[customer.plan.0].burst;
        let count = match call.purpose {
            CounterPurpose::QuotaWindow => &mut customer.window,
            CounterPurpose::Concurrency => &mut customer.epoch,
        };
        let mut with_own = total;
        if count.period == call.period {
            count.in_transit -= call.owed_amount;
            count.own_counted += call.amount;
            // Guards against a counter that lost its memory, which a total below own additions proves: own
            // spending goes back on and is reckoned with here until it has.
            let lost = count.lost_by(total).filter(|_| call.purpose == CounterPurpose::QuotaWindow);
            if let Some(lost) = lost {
                count.owe_again(lost, total);
                // Others may spend it again: under a ceiling that is paid for.
                customer.ceiling_bucket.level -= lost;
            }
            count.last_total = total;
            with_own = total + count.not_yet_counted();
        }
        let is_fine_grained = customer.spread * settings.max_request_units <= burst;
        if is_fine_grained {
            customer.local_bucket = None;
        }
        self.counter.call_succeeded(customer, call.is_probe);
        with_own
    }

    fn note_failed_call(&mut self, call: &CounterCall, outcome: Outcome) {
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        let count = match call.purpose {
            CounterPurpose::QuotaWindow => &mut customer.window,
            CounterPurpose::Concurrency => &mut customer.epoch,
        };
        if count.period == call.period {
            count.in_transit -= call.owed_amount;
            if outcome.never_ran() {
                count.owed += call.owed_amount;
            }
            if outcome == Outcome::ServerError {
                count.added_without_total(call.amount);
            }
        }
        self.counter.call_failed(call.customer, customer, self.context.now, call.is_probe);
    }

    /// Notes whether a counter holds the request's units. An answer without a number holds them as well.
    fn note_counted_request(&mut self, call: &CounterCall, outcome: Outcome) {
        if !matches!(outcome, Outcome::Success | Outcome::ServerError) {
            return;
        }
        if let Some(request) = call.request.and_then(|id| self.requests.get_mut(&id)) {
            let is_window = call.purpose == CounterPurpose::QuotaWindow;
            request.counted_in_window = is_window.then_some(call.period);
        }
    }

    fn pay_owed_units(&mut self, customer_id: CustomerId) {
        let owed = self.customers.get(&customer_id).map_or(0.0, |customer| customer.window.owed);
        if owed > LEAST_OWED_UNITS {
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, None, 0.0);
        }
    }

    /// Gives back the units of a request that was counted in this window and never sent.
    pub(super) fn give_back_units(&mut self, customer_id: CustomerId, window: u64, units: f64) {
        self.begin_periods(customer_id);
        let now = self.context.now;
        let Some(customer) = self.customers.get_mut(&customer_id) else { return };
        if customer.window.period != window {
            return;
        }
        let plan = &self.context.settings.plans[customer.plan.0];
        let total = customer.window.last_total - units;
        let usable = customer.quota_left_elsewhere(customer_id, plan, now, total);
        if !self.counter.breaker.is_open() && usable >= LEAST_USABLE_UNITS {
            customer.window.last_total = total;
            self.call_counter(CounterPurpose::QuotaWindow, customer_id, None, -units);
        } else {
            // Nobody could use as little: it goes back with the next call.
            customer.window.owed -= units;
        }
    }

    /// Decides by the counter's total whether a request is within the quota, or without one by the local bucket.
    fn decide_quota(&mut self, id: RequestId, total: Option<f64>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.finished) else { return };
        let (customer_id, is_retry) = (request.arrival.customer, request.arrival.is_retry);
        let is_within = match total {
            Some(total) => self.is_within_counted_quota(id, total),
            // A retry was rejected a moment ago, here or elsewhere: it must be counted.
            None if is_retry && !self.counter_is_silent(customer_id) => false,
            None => self.is_within_local_quota(id),
        };
        if is_within {
            self.ask_concurrency(id);
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
        // Within the plain window only what a counter forgot is paid off under a ceiling.
        let is_in_plain_window = total <= QuotaWindow::of(plan).units;
        let units = if is_in_plain_window { 0.0 } else { request.arrival.units };
        let Some(customer) = self.customers.get_mut(&customer_id) else { return true };
        customer.take_above_quota(&self.context, plan, units)
    }

    fn is_within_local_quota(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(customer) = self.customers.get_mut(&request.arrival.customer) else { return false };
        let settings = &self.context.settings;
        let (plan, units) = (request.plan(settings), request.arrival.units);
        let customer_plan = &settings.plans[customer.plan.0];
        let id = request.arrival.customer;
        let is_within = customer.take_above_quota(&self.context, plan, units)
            && customer.take_local(&self.context, &self.lease, id, customer_plan, plan, units);
        if is_within && request.counted_in_window.is_none() {
            customer.window.owed += units;
        }
        is_within
    }

    fn counter_is_silent(&self, customer_id: CustomerId) -> bool {
        let customer = self.customers.get(&customer_id);
        self.counter.is_silent(self.context.settings.counter_enabled, customer)
    }

    /// Decides by the counter's total whether one more attempt is within the plan, or without one by this gateway's
    /// share.
    fn decide_concurrency(&mut self, id: RequestId, total: Option<f64>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (customer_id, is_finished) = (request.arrival.customer, request.finished);
        let Some(customer) = self.customers.get(&customer_id) else { return };
        let must_be_counted = request.arrival.is_retry && !self.counter_is_silent(customer_id);
        let plan = request.plan(&self.context.settings);
        let is_within = customer.is_within_concurrency(plan, total) && !(total.is_none() && must_be_counted);
        if is_within && !is_finished {
            self.admit(id);
        } else {
            self.reject(id, RejectionReason::ConcurrencyQuota);
        }
        self.correct_concurrency(customer_id);
    }

    /// Corrects the counter of attempts in flight where it holds more than are.
    pub(super) fn correct_concurrency(&mut self, customer_id: CustomerId) {
        self.begin_periods(customer_id);
        let is_open = self.counter.breaker.is_open();
        let Some(customer) = self.customers.get_mut(&customer_id).filter(|_| !is_open) else { return };
        if let Some(surplus) = customer.concurrency_surplus() {
            customer.epoch.owed -= surplus;
            self.call_counter(CounterPurpose::Concurrency, customer_id, None, 0.0);
        }
    }
}
