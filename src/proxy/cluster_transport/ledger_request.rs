//! A request of which the ledger keeps a record: run here, answered from its record, awaited while another gateway runs it,
//! or taken over from one that is gone.

use super::ledger_claim::{retry_pause, LedgerClaim};
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

/// A request as the ledger knows it.
#[derive(Debug, Clone)]
pub struct RecordedRequest {
    /// Its record.
    pub id: RecordId,
    /// A hash of what its client sent: two requests under one key must be the same.
    pub digest: u64,
    /// The request itself, if it is left with the record's replicas to be finished whoever dies.
    pub serialized: Option<Vec<u8>>,
}

impl RecordedRequest {
    /// The record of a request with this idempotency key.
    pub fn new(head: &RequestHead, key: u64, forward: &ForwardedRequest, body: &[u8]) -> RecordedRequest {
        let mut digest = Xxh3::new();
        digest.update(forward.method.as_str().as_bytes());
        digest.update(forward.uri.to_string().as_bytes());
        digest.update(body);
        let id = RecordId { customer: head.arrival.customer.0, key };
        RecordedRequest { id, digest: digest.digest(), serialized: None }
    }
}

/// Attempts of earlier owners, as the decision module is told of them.
pub fn prior_attempts(attempts: Vec<RecordedAttempt>) -> Vec<PriorAttempt> {
    let prior = |attempt: RecordedAttempt| PriorAttempt {
        endpoint: EndpointId(attempt.endpoint),
        sent_at: attempt.sent_at,
    };
    attempts.into_iter().map(prior).collect()
}

/// What a look at the record led to.
enum Step {
    /// The request has its response.
    Done(FinalResponse),
    /// The record has to be looked at again.
    LookAgain,
}

/// Takes a request through the ledger to its final response, by its deadline.
///
/// # Errors
///
/// The idempotency key stands for another request.
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
    // Most requests come for the first time: they go ahead while the replicas are asked.
    let mut goes_ahead = !arrival.is_retry;
    let mut serving = RecordedServing { context, arrival, forward, looks: 0 };
    loop {
        let claim = || cluster.claim(record.id, record.digest, record.serialized.clone());
        let Some(mut work) = claim() else {
            return Ok(serving.run_unrecorded().await);
        };
        if std::mem::take(&mut goes_ahead) {
            if let Step::Done(response) = serving.run_ahead(&work).await {
                return Ok(response);
            }
            // What went ahead is cancelled, and may be about to be sent under this claim: only another may write.
            if matches!(work.outcome().await, ClaimOutcome::Acquired { .. }) {
                let Some(other) = claim() else { continue };
                work = other;
            }
        }
        if let Step::Done(response) = serving.follow_record(&work).await? {
            return Ok(response);
        }
    }
}

/// A request on its way through the ledger.
struct RecordedServing<'a, F> {
    context: &'a ProxyContext,
    arrival: Arrival,
    forward: F,
    /// How often it was found running elsewhere.
    looks: u32,
}

impl<F: Fn(Option<Rc<LedgerClaim>>) -> ForwardedRequest> RecordedServing<'_, F> {
    async fn run_unrecorded(&self) -> FinalResponse {
        dispatch(self.context, self.arrival.clone(), (self.forward)(None)).await
    }

    async fn run(
        &self,
        work: &Rc<LedgerClaim>,
        prior_attempts: Vec<PriorAttempt>,
        already_counted: bool,
    ) -> FinalResponse {
        let arrival = Arrival { already_counted, prior_attempts, ..self.arrival.clone() };
        dispatch(self.context, arrival, (self.forward)(Some(work.clone()))).await
    }

    /// Runs the request before the record was found, unless it turns out to be another's.
    async fn run_ahead(&self, work: &Rc<LedgerClaim>) -> Step {
        tokio::select! {
            biased;
            () = work.overtaken() => Step::LookAgain,
            response = self.run(work, Vec::new(), false) => Step::Done(response),
        }
    }

    /// Does what the record says.
    async fn follow_record(&mut self, work: &Rc<LedgerClaim>) -> Result<Step, RequestError> {
        Ok(match work.outcome().await {
            ClaimOutcome::Completed(body) => {
                let body = ResponseBody::Buffered(Full::new(Bytes::from(body)), None);
                Step::Done(FinalResponse::Served(body))
            }
            ClaimOutcome::KeyReused => return Err(RequestError::IdempotencyKeyReused),
            ClaimOutcome::InProgress(left) => self.wait_for_owner(left).await,
            ClaimOutcome::Lost | ClaimOutcome::Confirmed(_) => Step::LookAgain,
            ClaimOutcome::Unavailable => Step::Done(self.run(work, Vec::new(), false).await),
            ClaimOutcome::Acquired { attempts, existed } => {
                tokio::select! {
                    biased;
                    () = work.lost() => Step::LookAgain,
                    response = self.run(work, prior_attempts(attempts), existed) => Step::Done(response),
                }
            }
        })
    }

    /// Waits while another gateway runs the request, whose lease lasts for `left`.
    async fn wait_for_owner(&mut self, left: Micros) -> Step {
        let now = self.context.clock.now();
        // As late as the decision module itself would fail it.
        if now + self.context.response_margin >= self.arrival.deadline {
            return Step::Done(FinalResponse::Failed);
        }
        let pause = retry_pause(self.looks, left);
        self.looks += 1;
        let until_deadline = duration(self.arrival.deadline - now - self.context.response_margin);
        sleep(pause.min(until_deadline)).await;
        Step::LookAgain
    }
}
