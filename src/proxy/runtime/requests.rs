//! Table of open requests, each of which gets exactly one final response.

use super::messages::{AttemptId, FinalResponse};
use crate::decision::RequestId;
use crate::proxy::cluster_transport::outcome_recorder::RolloutAssignment;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Request without a final response, or with attempts still in flight.
pub(super) struct OpenRequest {
    reply: Option<oneshot::Sender<FinalResponse>>,
    pub forwarded: Rc<ForwardedRequest>,
    attempts: Vec<OpenAttempt>,
    /// Rollout for which the outcome of this request is counted.
    pub rollout: Option<RolloutAssignment>,
}

/// Attempt of an open request.
#[derive(Default)]
struct OpenAttempt {
    in_flight: bool,
    cancel: Option<oneshot::Sender<()>>,
}

impl OpenRequest {
    /// Creates an open request. `prior_attempts` were made by other gateways; they are included in the indices
    /// because the decision module counts them as well.
    pub fn new(
        forwarded: ForwardedRequest,
        reply: oneshot::Sender<FinalResponse>,
        prior_attempts: usize,
        rollout: Option<RolloutAssignment>,
    ) -> OpenRequest {
        let attempts = (0..prior_attempts).map(|_| OpenAttempt::default()).collect();
        OpenRequest { reply: Some(reply), forwarded: Rc::new(forwarded), attempts, rollout }
    }

    /// Takes the sender of the final response. From then on no attempt of the request is written to a backend.
    pub fn take_reply(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.forwarded.is_sendable.set(false);
        self.reply.take()
    }

    /// Whether the request has had its final response.
    pub fn is_answered(&self) -> bool {
        self.reply.is_none()
    }

    fn is_finished(&self) -> bool {
        self.is_answered() && !self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Number of attempts so far, including those of other gateways.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an attempt that ended before it was sent.
    pub fn add_unsent_attempt(&mut self) {
        self.attempts.push(OpenAttempt::default());
    }

    /// Adds an attempt that is in flight. The returned receiver is notified when the attempt is to be cancelled.
    pub fn add_attempt(&mut self) -> oneshot::Receiver<()> {
        let (cancel, cancel_receiver) = oneshot::channel();
        self.attempts.push(OpenAttempt { in_flight: true, cancel: Some(cancel) });
        cancel_receiver
    }
}

/// Open requests by id.
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

    /// Takes the sender of a request's final response, if that was not sent before.
    pub fn take_reply(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        self.get_mut(id).and_then(OpenRequest::take_reply)
    }

    /// Marks an attempt as no longer in flight.
    pub fn end_attempt(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempt_mut(attempt.request, attempt.number) {
            attempt.in_flight = false;
        }
    }

    /// Cancels an attempt, which may have ended already. The attempt's task reports the end once the connection is
    /// closed.
    pub fn cancel_attempt(&mut self, request: RequestId, number: usize) {
        let attempt = self.attempt_mut(request, number);
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Removes a request that has had its final response and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.get(id).is_some_and(OpenRequest::is_finished) {
            self.0.remove(&id);
        }
    }

    fn attempt_mut(&mut self, request: RequestId, number: usize) -> Option<&mut OpenAttempt> {
        self.get_mut(request).and_then(|request| request.attempts.get_mut(number))
    }
}
