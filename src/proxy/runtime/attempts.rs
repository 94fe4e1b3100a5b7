//! Actions of the decision module: attempts that are sent and how they end, calls to the counter, and the one final
//! answer of each request.

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

/// Guards the division by a latency objective of 0, in seconds.
const MIN_OBJECTIVE_SECONDS: f64 = 1e-6;

impl Runtime {
    /// Carries out one action.
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
            // The watch on the endpoint list never stops.
            Action::Subscribe => {}
        }
    }

    /// Answers a request for which no backend did.
    fn answer_without_backend(&mut self, id: RequestId, response: FinalResponse, reason: RejectionReason) {
        let rejected = matches!(response, FinalResponse::Rejected { .. });
        debug!(request = id.0, rejected, ?reason, "answered without a backend");
        self.metrics.rejections.increment(reason);
        let Some(reply) = self.requests.take_reply(id) else { return };
        self.record_unserved(id);
        // A client that has just gone needs no answer.
        let _ = reply.send(response);
        self.requests.remove_if_finished(id);
    }

    /// Counts a request that no backend answered for its rollout.
    fn record_unserved(&self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(rollout) = request.rollout else { return };
        let was_sent = request.attempt_count() > rollout.prior_attempts;
        let ended = if was_sent { RequestOutcome::Failed } else { RequestOutcome::Rejected };
        self.outcomes.record(RolloutOutcome {
            assignment: rollout,
            ended_at: self.clock.now(),
            outcome: ended,
            objective_fraction: 0.0,
        });
    }

    /// Counts a request that a backend answered for its rollout.
    fn record_served(&self, rollout: RolloutAssignment) {
        let at = self.clock.now();
        let class = self.site.settings.classes.get(rollout.class.0);
        let objective = class.map_or(Micros(1), |class| class.latency_objective);
        let objective_fraction =
            (at - rollout.arrived_at).secs() / objective.secs().max(MIN_OBJECTIVE_SECONDS);
        let ended = if objective_fraction <= 1.0 { RequestOutcome::OnTime } else { RequestOutcome::Late };
        self.outcomes.record(RolloutOutcome {
            assignment: rollout,
            ended_at: at,
            outcome: ended,
            objective_fraction,
        });
    }

    /// Reports an attempt's end to the decision module with the next batch.
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
            settled_units: None,
            load,
        }));
    }

    fn send_attempt(&mut self, now: Micros, id: RequestId, endpoint: EndpointId, give_up_at: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = AttemptId { request: id, number: request.attempt_count(), endpoint };
        let backend = self.backends.get(&endpoint).filter(|_| !request.is_answered()).cloned();
        let Some(backend) = backend else {
            // The client disconnected, or the list changed, after the decision module's last turn.
            request.add_unsent_attempt();
            return self.report_attempt_end(attempt, Outcome::NotSent, Micros(0), LoadReport::default());
        };
        debug!(request = id.0, attempt = attempt.number, backend = %backend.address, "attempt begins");
        let cancelled = request.add_attempt();
        let task = AttemptTask {
            attempt,
            backend,
            request: request.forwarded.clone(),
            pool: self.pool.clone(),
            outcomes: self.outcomes.clone(),
            clock: self.clock,
            sent_at: now,
            give_up_at: self.clock.instant(give_up_at),
        };
        if let Some(tracker) = &task.request.tracker {
            // Before its request can be answered: whoever asks then has to hear of it.
            tracker.attempt_started();
        }
        let runtime = self.sender.clone();
        tokio::task::spawn_local(async move {
            // The runtime outlives every attempt but for the exit of the process.
            let _ = runtime.send(task.run(cancelled).await).await;
        });
    }

    /// An attempt ended, or its streamed response began. The first 200 is the client's at once and ends the request; the
    /// decision module hears of it.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, result: AttemptResult, elapsed: Micros) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let (id, number) = (attempt.request, attempt.number);
        let AttemptResult { outcome, body, report, not_sent, .. } = result;
        debug!(request = id.0, attempt = number, ?outcome, ?not_sent, took_us = elapsed.0, "attempt ends");
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
                // The attempt ends with the body.
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

    /// A streamed response ended.
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

/// One attempt on its way.
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
    /// Makes the attempt and returns its end.
    async fn run(self, cancelled: oneshot::Receiver<()>) -> RuntimeEvent {
        let endpoint = self.attempt.endpoint.0;
        let result = match &self.request.claim {
            Some(claim) if !claim.record_attempt(endpoint).await => {
                self.pool.not_sent(NotSentReason::NotOwner)
            }
            _ => self.pool.attempt(&self.backend, &self.request, self.give_up_at, cancelled).await,
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

    /// Notes whether a backend could be reached, where the outcome says so.
    fn record_reachability(&self, outcome: Outcome) {
        match outcome {
            Outcome::Success | Outcome::ServerError | Outcome::Rejected => {
                self.outcomes.record_reachability(true)
            }
            Outcome::ConnectFailed | Outcome::Timeout => self.outcomes.record_reachability(false),
            Outcome::ConnectionReset | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// From the last byte of the request, which for a streamed body comes after the send, to the first of its response.
    fn elapsed(&self, result: &AttemptResult) -> Micros {
        let since = result.request_sent_at.map_or(self.sent_at, |at| self.clock.at(at).max(self.sent_at));
        let until = result.response_started_at.map_or(self.clock.now(), |at| self.clock.at(at));
        until - since
    }
}
