//! Attempts: sends them, handles their responses and ends, and retries as far as the class and the retry budget
//! allow.

use super::Gateway;
use crate::decision::action::{Action, RejectionReason};
use crate::decision::event::{AttemptEnded, Outcome};
use crate::decision::ids::{EndpointId, RequestId};
use crate::decision::load_balancing::AttemptVerdict;
use crate::decision::request::Attempt;
use crate::decision::retry::{self, AttemptGuard};
use crate::decision::time::Micros;

impl Gateway {
    /// Sends the next attempt, or queues the request until an endpoint has capacity.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        match self.select_endpoint(id) {
            Some(endpoint) => self.send(id, endpoint),
            None => self.enqueue(id),
        }
    }

    /// Selects the endpoint for the next attempt of a request, if an allowed endpoint has capacity.
    pub(super) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        let request = self.requests.get(&id)?;
        let guard = AttemptGuard::new(&self.context, request, &self.balancer.endpoints);
        let is_allowed = |endpoint: &_| guard.allows(endpoint);
        self.balancer.select(&self.context, &mut self.rng, request, &is_allowed)
    }

    pub(super) fn send(&mut self, id: RequestId, endpoint: EndpointId) {
        let now = self.context.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let give_up_at = retry::give_up_at(
            &self.context,
            request,
            self.balancer.endpoints.get(&endpoint),
            self.balancer.averages.failure_fraction,
        );
        // An endpoint starts its work on a request with the last byte of the body.
        let holds_slot = !request.arrival.streaming_body;
        let units = request.arrival.units;
        request.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            in_flight: true,
            holds_slot,
            may_have_run: false,
        });
        request.queued_since = None;
        request.counted_in_window = None;
        self.balancer.attempt_sent(endpoint, units, now);
        if holds_slot {
            self.balancer.take_slot(endpoint);
        }
        self.actions.push(Action::SendAttempt { request: id, endpoint, give_up_at });
    }

    /// Handles the last byte of a streamed request body. Until then the request waits for its client and does not
    /// count against the endpoint's concurrency limit; otherwise a few slow clients would use it up.
    pub(super) fn on_body_ended(&mut self, id: RequestId, deadline: Micros) {
        let now = self.context.now;
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.arrival.deadline = deadline;
        request.arrived_at = now;
        // A request with a streamed body has at most one attempt.
        let attempt = request.attempts.first_mut();
        if let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && !attempt.holds_slot) {
            attempt.holds_slot = true;
            self.balancer.take_slot(attempt.endpoint);
        }
        self.set_deadline_timer(id, deadline);
    }

    /// Handles the start of a streamed response to the client.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// Handles the first bytes of a long response. The endpoint's work is then done: the attempt stops counting
    /// against the concurrency limit and is judged by its latency so far, as the client determines how long the rest
    /// takes.
    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: usize, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        let latency_objective = request.class(&self.context.settings).latency_objective;
        let attempt = request.attempts.get_mut(attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && attempt.holds_slot) else {
            return;
        };
        attempt.holds_slot = false;
        let endpoint = attempt.endpoint;
        let outcome = Outcome::Success;
        self.record_verdict(endpoint, AttemptVerdict { outcome, elapsed, latency_objective });
        self.serve_queue_if_any();
    }

    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnded) {
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        let attempt = request.attempts.get_mut(end.attempt);
        let matches_event = |attempt: &&mut Attempt| attempt.in_flight && attempt.endpoint == end.endpoint;
        let Some(attempt) = attempt.filter(matches_event) else { return };
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let held_slot = std::mem::take(&mut attempt.holds_slot);
        let was_finished = request.finished;
        let streaming = request.streaming;
        request.finished |= end.request_finished || end.outcome == Outcome::Success;
        let latency_objective = request.class(&self.context.settings).latency_objective;
        let is_within_objective = self.context.now < request.arrived_at + latency_objective;
        if !was_finished {
            self.settle_units(end);
        }
        if !held_slot && !streaming {
            // The attempt ended before the streamed request body did. It is judged like any other attempt, and
            // judging it releases a slot.
            self.balancer.take_slot(end.endpoint);
        }
        self.balancer.load_reported(end.endpoint, end.load, self.context.now);
        if held_slot || !streaming {
            let AttemptEnded { outcome, elapsed, .. } = *end;
            self.record_verdict(end.endpoint, AttemptVerdict { outcome, elapsed, latency_objective });
        }
        self.continue_request(end.request, is_within_objective);
        self.serve_queue_if_any();
    }

    /// Corrects the customer's spending when the actual cost of a request is known. The difference is reported with a
    /// later call to the counter.
    fn settle_units(&mut self, end: &AttemptEnded) {
        let Some(request) = self.requests.get(&end.request) else { return };
        let actual_units = end.settled_units.filter(|_| end.outcome == Outcome::Success);
        let customer = self.customers.get_mut(&request.arrival.customer);
        if let (Some(actual_units), Some(customer)) = (actual_units, customer) {
            customer.window.unreported += actual_units - request.arrival.units;
        }
    }

    fn record_verdict(&mut self, endpoint: EndpointId, verdict: AttemptVerdict) {
        if self.balancer.attempt_ended(&self.context, &mut self.rng, endpoint, verdict) {
            self.shedding.attempt_ended(verdict.indicates_overload());
        }
    }

    /// Releases, retries or rejects the request after the end of an attempt. A retry must start within the latency
    /// objective, and needs an allowed endpoint and a token of the retry budget.
    fn continue_request(&mut self, id: RequestId, is_within_objective: bool) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.finished {
            self.release_if_finished(id);
        } else if is_within_objective && self.may_retry(id) && self.retry_budget.try_take() {
            self.dispatch(id);
        } else if !request.is_in_flight() {
            self.reject(id, RejectionReason::AttemptsExhausted);
        }
    }

    fn may_retry(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let guard = AttemptGuard::new(&self.context, request, &self.balancer.endpoints);
        self.balancer.endpoints.values().any(|endpoint| guard.allows(endpoint))
    }

    fn serve_queue_if_any(&mut self) {
        if !self.queue.is_empty() {
            self.serve_queue();
        }
    }
}
