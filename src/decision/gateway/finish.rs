//! End of a request: its final answer, and the release of its resources once no attempt is in flight.

use super::Gateway;
use crate::decision::action::{Action, RejectionReason};
use crate::decision::admission::quota_window::{Period, QuotaWindow};
use crate::decision::admission::RecentRejection;
use crate::decision::ids::RequestId;
use crate::decision::request::Request;
use crate::decision::retry;
use crate::decision::time::Micros;

impl Gateway {
    /// Ends a request that got no response: rejects it if its client may safely retry, otherwise fails it.
    pub(super) fn reject(&mut self, id: RequestId, reason: RejectionReason) {
        let Some(request) = self.requests.get(&id) else { return };
        let answer = if retry::may_reject(&self.context, request) {
            Action::Reject { request: id, retry_after: self.retry_after(request), reason }
        } else {
            Action::Fail { request: id, reason }
        };
        if let Some(customer) = self.customers.get_mut(&request.arrival.customer) {
            let Request { arrival, .. } = request;
            customer.last_rejection =
                Some(RecentRejection { class: arrival.class, units: arrival.units, at: self.context.now });
        }
        self.finish(id, Some(answer));
    }

    /// Time until the end of the customer's quota window, if clients are sent a Retry-After.
    fn retry_after(&self, request: &Request) -> Option<Micros> {
        let settings = &self.context.settings;
        let plan = request.plan(settings);
        if !settings.retry_after || plan.rate <= 0.0 {
            return None;
        }
        let length = QuotaWindow::for_plan(plan).length;
        let period = Period::containing(self.context.now, request.arrival.customer, length);
        Some(period.remaining.min(settings.max_retry_after))
    }

    /// Marks a request as finished, with its final answer if it needs one, and cancels its attempts in flight.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.finished {
            request.finished = true;
            self.actions.extend(answer);
            if self.context.settings.may_cancel && !request.streaming {
                let attempts = request.attempts.iter().enumerate();
                let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
                let cancel = |(attempt, _)| Action::CancelAttempt { request: id, attempt };
                self.actions.extend(in_flight.map(cancel));
            }
        }
        self.release_if_finished(id);
    }

    /// Removes a finished request once no attempt is in flight, and releases its units and its concurrency.
    pub(super) fn release_if_finished(&mut self, id: RequestId) {
        let is_complete = |request: &&mut Request| request.finished && !request.is_in_flight();
        let Some(request) = self.requests.get_mut(&id).filter(is_complete) else { return };
        let (customer_id, units) = (request.arrival.customer, request.arrival.units);
        let held_concurrency = std::mem::take(&mut request.holds_concurrency);
        let counted_in_window = request.counted_in_window.take();
        let deadline_timer = request.deadline_timer.take();
        // The reply to a counter call in flight still needs to know whether the request was sent.
        if request.pending_counter_calls == 0 {
            self.requests.remove(&id);
        }
        self.cancel_timer(deadline_timer);
        if let Some(window) = counted_in_window {
            self.refund_units(customer_id, window, units);
        }
        if held_concurrency {
            if let Some(customer) = self.customers.get_mut(&customer_id) {
                customer.in_flight -= 1.0;
            }
            self.correct_concurrency(customer_id);
        }
    }
}
