//! The table of open requests: each gets exactly one final answer.

use super::messages::{AttemptId, FinalResponse};
use crate::decision::RequestId;
use crate::proxy::cluster_transport::outcome_recorder::RolloutAssignment;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request, until it has its final answer and no attempt of it is in flight.
pub(super) struct OpenRequest {
    reply: Option<oneshot::Sender<FinalResponse>>,
    pub forwarded: Rc<ForwardedRequest>,
    attempts: Vec<OpenAttempt>,
    /// How it ends is counted for a rollout.
    pub rollout: Option<RolloutAssignment>,
}

/// An attempt of an open request.
#[derive(Default)]
struct OpenAttempt {
    in_flight: bool,
    cancel: Option<oneshot::Sender<()>>,
}

impl OpenRequest {
    /// A request that had so many attempts at gateways before this one, which the decision module counts as well.
    pub fn new(
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<FinalResponse>,
        prior_attempts: usize,
        rollout: Option<RolloutAssignment>,
    ) -> OpenRequest {
        let attempts = (0..prior_attempts).map(|_| OpenAttempt::default()).collect();
        OpenRequest { reply: Some(reply), forwarded: Rc::new(forwarded), attempts, rollout }
    }

    /// Takes what the one final answer goes to; no further attempt is written.
    pub fn take_reply(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.forwarded.wanted.set(false);
        self.reply.take()
    }

    /// Whether it has had its final answer.
    pub fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && !self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// How many attempts it has had.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an attempt that ended before it was sent.
    pub fn add_unsent_attempt(&mut self) {
        self.attempts.push(OpenAttempt::default());
    }

    /// Adds an attempt that is in flight. The receiver is notified when it is to be cancelled.
    pub fn add_attempt(&mut self) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.push(OpenAttempt { in_flight: true, cancel: Some(cancel) });
        cancelled
    }
}

/// The open requests by their ids.
#[derive(Default)]
pub(super) struct RequestTable(HashMap<RequestId, OpenRequest>);

impl RequestTable {
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.0.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.0.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.0.get_mut(&id)
    }

    /// Takes what the final answer of a request goes to, if it has not had one.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        self.get_mut(id).and_then(OpenRequest::take_reply)
    }

    /// Notes that an attempt is no longer in flight.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempt_mut(attempt.request, attempt.number) {
            attempt.in_flight = false;
        }
    }

    /// Cancels an attempt. It reports its end itself, once its connection is closed; it may have ended.
    pub fn cancel_attempt(&mut self, request: RequestId, number: usize) {
        let attempt = self.attempt_mut(request, number);
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Forgets a request that has had its answer and of which nothing is in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.get(id).is_some_and(OpenRequest::is_finished) {
            self.0.remove(&id);
        }
    }

    fn attempt_mut(&mut self, request: RequestId, number: usize) -> Option<&mut OpenAttempt> {
        self.get_mut(request).and_then(|request| request.attempts.get_mut(number))
    }
}
