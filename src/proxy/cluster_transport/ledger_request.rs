//! Requests with a ledger record. Depending on the record, a request is run here, answered with the recorded
//! response, awaited while another gateway runs it, or taken over from a gateway that has failed.

use super::ledger_claim::{poll_pause, LedgerClaim};
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordId, RecordedAttempt};
use crate::decision::{Arrival, EndpointId, Micros, PriorAttempt};
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_error::RequestError;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::runtime::clock::duration;
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use bytes::Bytes;
use http_body_util::Full;
use std::rc::Rc;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

/// Identity of a request in the ledger.
#[derive(Debug, Clone)]
pub struct RecordedRequest {
    /// Name of the request's record.
    pub id: RecordId,
    /// Hash of method, URI and body. Requests with the same idempotency key must have the same digest.
    pub digest: u64,
    /// The serialized request, if it is stored at the record's replicas so that another gateway can finish it.
    pub serialized: Option<Vec<u8>>,
}

impl RecordedRequest {
    /// Describes a request with this idempotency key.
    pub fn new(head: &RequestHead, key: u64, forward: &ForwardedRequest, body: &[u8]) -> RecordedRequest {
        let mut digest = Xxh3::new();
        digest.update(forward.method.as_str().as_bytes());
        digest.update(forward.uri.to_string().as_bytes());
        digest.update(body);
        let id = RecordId { customer: head.arrival.customer.0, key };
        RecordedRequest { id, digest: digest.digest(), serialized: None }
    }
}

/// Converts the attempts of earlier owners to the decision module's type.
pub fn prior_attempts(attempts: Vec<RecordedAttempt>) -> Vec<PriorAttempt> {
    let prior = |attempt: RecordedAttempt| PriorAttempt {
        endpoint: EndpointId(attempt.endpoint),
        sent_at: attempt.sent_at,
    };
    attempts.into_iter().map(prior).collect()
}

/// Result of one claim of the record.
enum Step {
    /// The request has its final response.
    Done(FinalResponse),
    /// The record has to be claimed again.
    ClaimAgain,
}

/// Serves a request under the protection of its ledger record, until the final response or the deadline.
///
/// # Errors
///
/// The idempotency key was already used for a different request.
pub async fn serve_recorded<F>(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    arrival: Arrival,
    forward: F,
) -> Result<FinalResponse, RequestError>
where
    F: Fn(Option<Rc<LedgerClaim>>) -> ForwardedRequest,
{
    // Most requests are first attempts of their clients, so they run while the replicas are still being asked.
    let mut run_speculatively = !arrival.is_retry;
    let may_be_finished = record.serialized.is_some();
    let mut serving = RecordedServing { context, arrival, forward, polls: 0, may_be_finished };
    loop {
        let open_claim = || cluster.claim(record.id, record.digest, record.serialized.clone());
        let Some(mut claim) = open_claim() else {
            return Ok(serving.run_unrecorded().await);
        };
        if std::mem::take(&mut run_speculatively) {
            if let Step::Done(response) = serving.run_speculative(&claim).await {
                return Ok(response);
            }
            // The speculative run was cancelled, but an attempt may still be about to be sent under this claim. Only
            // a new claim may write to the record.
            if matches!(claim.outcome().await, ClaimOutcome::Acquired { .. }) {
                let Some(new_claim) = open_claim() else { continue };
                claim = new_claim;
            }
        }
        if let Step::Done(response) = serving.follow_record(&claim).await? {
            return Ok(response);
        }
    }
}

/// State of a request that is served with a ledger record.
struct RecordedServing<'a, F> {
    context: &'a ProxyContext,
    arrival: Arrival,
    forward: F,
    /// Number of polls that found the request running at another gateway.
    polls: u32,
    /// Whether another gateway finishes the request if this one fails.
    may_be_finished: bool,
}

impl<F: Fn(Option<Rc<LedgerClaim>>) -> ForwardedRequest> RecordedServing<'_, F> {
    async fn run_unrecorded(&self) -> FinalResponse {
        dispatch(self.context, self.arrival.clone(), (self.forward)(None)).await
    }

    async fn run(
        &self,
        claim: &Rc<LedgerClaim>,
        prior_attempts: Vec<PriorAttempt>,
        already_counted: bool,
    ) -> FinalResponse {
        let arrival = Arrival { already_counted, prior_attempts, ..self.arrival.clone() };
        let response = dispatch(self.context, arrival, (self.forward)(Some(claim.clone()))).await;
        match response {
            // A refusal promises that the request has no effect.
            FinalResponse::Rejected { .. } if self.may_be_finished && !claim.give_up().await => {
                FinalResponse::Failed
            }
            response => response,
        }
    }

    /// Runs the request before the result of the claim is known. Stops if the record belongs to another owner or
    /// existed before.
    async fn run_speculative(&self, claim: &Rc<LedgerClaim>) -> Step {
        tokio::select! {
            biased;
            () = claim.wait_for_conflict() => Step::ClaimAgain,
            response = self.run(claim, Vec::new(), false) => Step::Done(response),
        }
    }

    /// Continues the request as the result of the claim requires.
    async fn follow_record(&mut self, claim: &Rc<LedgerClaim>) -> Result<Step, RequestError> {
        Ok(match claim.outcome().await {
            ClaimOutcome::Completed(body) => {
                let body = ResponseBody::Buffered(Full::new(Bytes::from(body)), None);
                Step::Done(FinalResponse::Served(body))
            }
            ClaimOutcome::KeyReused => return Err(RequestError::IdempotencyKeyReused),
            ClaimOutcome::InProgress(remaining_lease) => self.wait_for_owner(remaining_lease).await,
            ClaimOutcome::Lost | ClaimOutcome::Confirmed(_) => Step::ClaimAgain,
            ClaimOutcome::Unavailable => Step::Done(self.run(claim, Vec::new(), false).await),
            ClaimOutcome::Acquired { attempts, existed, .. } => {
                tokio::select! {
                    biased;
                    () = claim.wait_until_lost() => Step::ClaimAgain,
                    response = self.run(claim, prior_attempts(attempts), existed) => Step::Done(response),
                }
            }
        })
    }

    /// Waits before the next poll while another gateway runs the request; the owner's lease ends in
    /// `remaining_lease`.
    async fn wait_for_owner(&mut self, remaining_lease: Micros) -> Step {
        let now = self.context.clock.now();
        // The decision module would fail the request at this time as well.
        if now + self.context.response_margin >= self.arrival.deadline {
            return Step::Done(FinalResponse::Failed);
        }
        let pause = poll_pause(self.polls, remaining_lease);
        self.polls += 1;
        let until_deadline = duration(self.arrival.deadline - now - self.context.response_margin);
        sleep(pause.min(until_deadline)).await;
        Step::ClaimAgain
    }
}
