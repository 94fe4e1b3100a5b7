//! Carries out the actions of the decision module: sends attempts and reports their ends, calls the counter, and
//! sends each request's single final response.

use super::messages::{send_event, AttemptId, FinalResponse, RuntimeEvent};
use super::{Clock, Runtime};
use crate::cluster::rollout::RequestOutcome;
use crate::decision::{
    Action, AttemptEnded, CounterKey, EndpointId, Event, LoadReport, Micros, Outcome, RejectionReason,
    RequestId,
};
use crate::proxy::admin::metrics::NotSentReason;
use crate::proxy::cluster_transport::outcome_recorder::{OutcomeRecorder, RolloutAssignment, RolloutOutcome};
use crate::proxy::control_plane::counter::Increment;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::upstream::attempt_result::{AttemptResult, UpstreamResponseBody};
use crate::proxy::upstream::backend::Backend;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use crate::proxy::upstream::pool::ConnectionPool;
use http_body_util::Full;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

/// Lower bound on a latency objective, in seconds; prevents a division by 0.
const MIN_OBJECTIVE_SECONDS: f64 = 1e-6;

impl Runtime {
    /// Carries out one action of the decision module.
    pub(super) fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::SendAttempt { request, endpoint, give_up_at } => {
                self.send_attempt(now, request, endpoint, give_up_at);
            }
            Action::Reject { request, retry_after, reason } => {
                self.answer_without_backend(request, FinalResponse::Rejected { retry_after }, reason);
            }
            Action::Fail { request, reason } => {
                self.answer_without_backend(request, FinalResponse::Failed, reason);
            }
            Action::CancelAttempt { request, attempt } => self.requests.cancel_attempt(request, attempt),
            Action::IncrementCounter { key, amount, lifetime } => {
                self.increment_counter(key, amount, lifetime);
            }
            Action::SetTimer { timer, after } => self.timers.set(now + after, timer),
            // The endpoint list is watched all the time, so there is nothing to subscribe to.
            Action::Subscribe => {}
        }
    }

    /// Sends the final response to a request that no backend has answered.
    fn answer_without_backend(&mut self, id: RequestId, response: FinalResponse, reason: RejectionReason) {
        let rejected = matches!(response, FinalResponse::Rejected { .. });
        debug!(request = id.0, rejected, ?reason, "request answered without a backend");
        self.metrics.rejections.increment(reason);
        let Some(reply) = self.requests.take_reply(id) else { return };
        self.record_unserved(id);
        // The receiver is gone if the client has just disconnected.
        let _ = reply.send(response);
        self.requests.remove_if_finished(id);
    }

    /// Records the outcome of a request that no backend answered for its rollout, if it has one.
    fn record_unserved(&self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(rollout) = request.rollout else { return };
        let was_sent = request.attempt_count() > rollout.prior_attempts;
        let request_outcome = if was_sent { RequestOutcome::Failed } else { RequestOutcome::Rejected };
        self.outcomes.record(RolloutOutcome {
            assignment: rollout,
            ended_at: self.clock.now(),
            outcome: request_outcome,
            objective_fraction: 0.0,
        });
    }

    /// Records the outcome of a request that a backend answered for its rollout.
    fn record_served(&self, rollout: RolloutAssignment) {
        let ended_at = self.clock.now();
        let class = self.site.settings.classes.get(rollout.class.0);
        let objective = class.map_or(Micros(1), |class| class.latency_objective);
        let objective_fraction =
            (ended_at - rollout.arrived_at).secs() / objective.secs().max(MIN_OBJECTIVE_SECONDS);
        let request_outcome =
            if objective_fraction <= 1.0 { RequestOutcome::OnTime } else { RequestOutcome::Late };
        self.outcomes.record(RolloutOutcome {
            assignment: rollout,
            ended_at,
            outcome: request_outcome,
            objective_fraction,
        });
    }

    /// Reports the end of an attempt to the decision module at the next tick.
    fn report_attempt_end(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    ) {
        let request = self.requests.get(attempt.request);
        let request_finished = request.is_none_or(|request| request.is_answered());
        self.pending_events.push(Event::AttemptEnded(AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            outcome,
            elapsed,
            request_finished,
            // Backends do not report units; only the simulator settles them after the attempt.
            settled_units: None,
            load,
        }));
    }

    fn send_attempt(&mut self, now: Micros, id: RequestId, endpoint: EndpointId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = AttemptId { request: id, number: request.attempt_count(), endpoint };
        let backend = self.backends.get(&endpoint).filter(|_| !request.is_answered()).cloned();
        let Some(backend) = backend else {
            // The client disconnected, or the endpoint list changed, after the decision module last ran.
            request.add_unsent_attempt();
            return self.report_attempt_end(attempt, Outcome::NotSent, Micros(0), LoadReport::default());
        };
        debug!(request = id.0, attempt = attempt.number, backend = %backend.address, "attempt started");
        let cancel_receiver = request.add_attempt();
        let task = AttemptTask {
            attempt,
            backend,
            request: request.forwarded.clone(),
            pool: self.pool.clone(),
            outcomes: self.outcomes.clone(),
            clock: self.clock,
            sent_at: now,
            give_up_at: self.clock.instant_at(give_up_at),
        };
        if let Some(tracker) = &task.request.tracker {
            // Must happen before the request can be answered, so that a reader of the tracker then sees this attempt.
            tracker.attempt_started();
        }
        let runtime = self.sender.clone();
        tokio::task::spawn_local(async move {
            // Sending fails only while the process exits; until then the runtime outlives every attempt.
            let _ = runtime.send(task.run(cancel_receiver).await).await;
        });
    }

    /// Called when an attempt ended, or when its streamed response started. The first response with status 200 goes
    /// to the client at once and ends the request; the decision module is notified.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let (id, number) = (attempt.request, attempt.number);
        let AttemptResult { outcome, body, report, not_sent, .. } = result;
        debug!(request = id.0, attempt = number, ?outcome, ?not_sent, took_us = elapsed.0, "attempt ended");
        self.metrics.attempt_outcomes.increment(outcome);
        let forwarded = request.forwarded.clone();
        let rollout = request.rollout.filter(|_| body.is_some() && !request.is_answered());
        let reply = if body.is_some() { request.take_reply() } else { None };
        if let Some(rollout) = rollout {
            self.record_served(rollout);
        }
        match (body, reply) {
            (Some(UpstreamResponseBody::Streamed(mut body)), Some(reply)) => {
                let runtime = self.sender.clone();
                body.on_end(move |complete| {
                    send_event(&runtime, RuntimeEvent::ResponseBodyEnded { attempt, complete });
                });
                self.pending_events.push(Event::ResponseStarted { request: id, attempt: number, elapsed });
                let _ = reply.send(FinalResponse::Served(ResponseBody::Streamed(body)));
                // The attempt ends when the body does.
                return;
            }
            (Some(UpstreamResponseBody::Buffered(bytes, permit)), Some(reply)) => {
                if let Some(claim) = &forwarded.claim {
                    claim.complete(&bytes);
                }
                let body = ResponseBody::Buffered(Full::new(bytes), permit);
                let _ = reply.send(FinalResponse::Served(body));
            }
            _ => {}
        }
        self.requests.end_attempt(attempt);
        self.report_attempt_end(attempt, outcome, elapsed, report);
    }

    /// Called when a streamed response ended.
    pub(super) fn response_body_ended(&mut self, attempt: AttemptId, complete: bool) {
        self.requests.end_attempt(attempt);
        let outcome = if complete { Outcome::Success } else { Outcome::ConnectionReset };
        self.report_attempt_end(attempt, outcome, Micros(0), LoadReport::default());
    }

    fn increment_counter(&mut self, key: CounterKey, amount: f64, lifetime: Micros) {
        let call = self.counter_replies.call_made(key);
        let (counter, runtime) = (self.counter.clone(), self.sender.clone());
        tokio::task::spawn_local(async move {
            let reply = match counter {
                Some(counter) => counter.increment(Increment { key, amount, lifetime }).await,
                None => Outcome::ConnectFailed.into(),
            };
            let _ = runtime.send(RuntimeEvent::CounterReplied { key, call, reply }).await;
        });
    }
}

/// Task that makes one attempt.
struct AttemptTask {
    attempt: AttemptId,
    backend: Rc<Backend>,
    request: Rc<ForwardedRequest>,
    pool: Rc<ConnectionPool>,
    outcomes: Rc<OutcomeRecorder>,
    clock: Clock,
    sent_at: Micros,
    give_up_at: Instant,
}

impl AttemptTask {
    /// Makes the attempt and returns the event that reports its end.
    async fn run(self, cancel_receiver: oneshot::Receiver<()>) -> RuntimeEvent {
        let endpoint = self.attempt.endpoint.0;
        let result = match &self.request.claim {
            Some(claim) if !claim.record_attempt(endpoint).await => {
                self.pool.not_sent(NotSentReason::NotOwner)
            }
            _ => self.pool.attempt(&self.backend, &self.request, self.give_up_at, cancel_receiver).await,
        };
        if let Some(claim) = &self.request.claim {
            claim.attempt_ended(endpoint, result.outcome);
        }
        if let Some(tracker) = &self.request.tracker {
            tracker.attempt_ended(result.outcome);
        }
        self.record_reachability(result.outcome);
        let elapsed = self.elapsed(&result);
        RuntimeEvent::AttemptEnded { attempt: self.attempt, result, elapsed }
    }

    /// Records whether the backend could be reached, where the outcome shows it.
    fn record_reachability(&self, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ServerError | Outcome::Rejected => {
                self.outcomes.record_reachability(true)
            }
            Outcome::ConnectFailed | Outcome::Timeout => self.outcomes.record_reachability(false),
            Outcome::ConnectionReset | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Returns how long the attempt took: from the last byte of the request, which for a streamed body comes after the
    /// attempt started, to the first byte of a streamed response, or to the end of the attempt if there is none.
    fn elapsed(&self, result: &AttemptResult) -> Micros {
        let start = result
            .request_sent_at
            .map_or(self.sent_at, |instant| self.clock.time_at(instant).max(self.sent_at));
        let end = result.response_started_at.map_or(self.clock.now(), |instant| self.clock.time_at(instant));
        end - start
    }
}
