//! Requests with a ledger record. Depending on the record, a request is run here, answered with the recorded
//! response, awaited while another gateway runs it, or taken over from a gateway that has failed.

use super::ledger_claim::{poll_pause, LedgerClaim, ReleaseResult};
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordId, RecordedAttempt};
use crate::decision::{Arrival, EndpointId, Micros, PriorAttempt};
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_error::RequestError;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::lifecycle::drain::ShutdownPhase;
use crate::proxy::runtime::clock::duration;
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use bytes::Bytes;
use http_body_util::Full;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::debug;
use xxhash_rust::xxh3::Xxh3;

/// Remaining lease of an owner that is not known, as the replicas can't be reached: longer than any pause between polls.
const UNKNOWN_LEASE: Micros = Micros(1_000_000);

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
    /// The request has its final response, which is the client's.
    Done(FinalResponse),
    /// The request was run here and has its final response. The client may have it once no other gateway will continue
    /// the request: a client that has its response closes its connection, and nothing may be sent for it from then on.
    Answered(FinalResponse),
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
    let mut serving =
        RecordedServing { context, arrival, forward, polls: 0, may_be_finished, others_may_act: false };
    loop {
        let open_claim = || cluster.claim(record.id, record.digest, record.serialized.clone());
        let mut step = Step::ClaimAgain;
        let Some(mut claim) = open_claim() else {
            match serving.run_unrecorded().await {
                Step::Done(response) | Step::Answered(response) => return Ok(response),
                Step::ClaimAgain => continue,
            }
        };
        if std::mem::take(&mut run_speculatively) {
            step = serving.run_speculative(&claim).await;
            // The speculative run was cancelled, but an attempt may still be about to be sent under this claim. Only
            // a new claim may write to the record.
            if matches!(step, Step::ClaimAgain)
                && matches!(claim.outcome().await, ClaimOutcome::Acquired { .. })
            {
                let Some(new_claim) = open_claim() else { continue };
                claim = new_claim;
            }
        }
        if matches!(step, Step::ClaimAgain) {
            step = serving.follow_in_time(&claim).await?;
        }
        match step {
            Step::Done(response) => return Ok(response),
            Step::Answered(response) => return Ok(serving.settle(claim, response, open_claim).await),
            Step::ClaimAgain => {}
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
    /// Whether another gateway may finish the request now, as the lease of this one has ended. It must not be sent from
    /// here then unless the record is acquired anew.
    others_may_act: bool,
}

impl<F: Fn(Option<Rc<LedgerClaim>>) -> ForwardedRequest> RecordedServing<'_, F> {
    async fn run_unrecorded(&mut self) -> Step {
        if self.others_may_act {
            return self.wait_for_owner(UNKNOWN_LEASE).await;
        }
        Step::Done(dispatch(self.context, self.arrival.clone(), (self.forward)(None)).await)
    }

    /// Runs the request. Where other gateways may finish it, the run is cancelled once the lease has ended.
    async fn run(
        &mut self,
        claim: &Rc<LedgerClaim>,
        prior_attempts: Vec<PriorAttempt>,
        already_counted: bool,
    ) -> Step {
        let arrival = Arrival { already_counted, prior_attempts, ..self.arrival.clone() };
        tokio::select! {
            biased;
            response = dispatch(self.context, arrival, (self.forward)(Some(claim.clone()))) => {
                Step::Answered(response)
            }
            () = claim.wait_until_lapsed(), if self.may_be_finished => {
                debug!("the lease of a request ended before the request; its attempts are cancelled");
                Step::ClaimAgain
            }
        }
    }

    /// Runs the request before the result of the claim is known. Stops if the record belongs to another owner or
    /// existed before.
    async fn run_speculative(&mut self, claim: &Rc<LedgerClaim>) -> Step {
        let step = tokio::select! {
            biased;
            () = claim.wait_for_conflict() => Step::ClaimAgain,
            step = self.run(claim, Vec::new(), false) => step,
        };
        self.leave_claim(claim);
        step
    }

    /// Continues the request as the result of the claim requires. While others may act, it is failed at its deadline at the
    /// latest; otherwise the decision module does so.
    async fn follow_in_time(&mut self, claim: &Rc<LedgerClaim>) -> Result<Step, RequestError> {
        let others_may_act = self.others_may_act;
        let until_deadline = sleep(self.time_left());
        tokio::select! {
            biased;
            step = self.follow_record(claim) => step,
            () = until_deadline, if others_may_act => Ok(Step::Done(FinalResponse::Failed)),
        }
    }

    /// Continues the request as the result of the claim requires.
    async fn follow_record(&mut self, claim: &Rc<LedgerClaim>) -> Result<Step, RequestError> {
        let step = match claim.outcome().await {
            ClaimOutcome::Completed(body) => Step::Done(recorded_response(body)),
            ClaimOutcome::KeyReused => return Err(RequestError::IdempotencyKeyReused),
            ClaimOutcome::InProgress(remaining_lease) => self.wait_for_owner(remaining_lease).await,
            ClaimOutcome::Lost | ClaimOutcome::Confirmed(_) => Step::ClaimAgain,
            ClaimOutcome::Unavailable if self.others_may_act => self.wait_for_owner(UNKNOWN_LEASE).await,
            ClaimOutcome::Unavailable => self.run(claim, Vec::new(), false).await,
            ClaimOutcome::Acquired { attempts, existed, .. } => {
                tokio::select! {
                    biased;
                    () = claim.wait_until_lost() => Step::ClaimAgain,
                    step = self.run(claim, prior_attempts(attempts), existed) => step,
                }
            }
        };
        self.leave_claim(claim);
        Ok(step)
    }

    /// Records whether other gateways may act for the request, of which a claim that is not followed any more has told them.
    fn leave_claim(&mut self, claim: &LedgerClaim) {
        self.others_may_act |= self.may_be_finished && claim.has_writes();
    }

    /// Returns the final response once no other gateway will continue the request, as a quorum of the record's replicas
    /// knows that it has ended, or at the deadline, after which none begins to. A rejection promises that the request has
    /// no effect, so that it needs the quorum.
    async fn settle(
        &mut self,
        claim: Rc<LedgerClaim>,
        response: FinalResponse,
        open_claim: impl Fn() -> Option<Rc<LedgerClaim>>,
    ) -> FinalResponse {
        if !self.may_be_finished || !self.others_may_act && !claim.has_earlier_writes() {
            return response;
        }
        let mut lifecycle = self.context.lifecycle.subscribe();
        let until_deadline = sleep(self.time_left());
        let settled = tokio::select! {
            biased;
            recorded = self.confirm_end(claim, open_claim) => Some(recorded),
            () = until_deadline => None,
            _ = lifecycle.wait_for(|state| state.shutdown == ShutdownPhase::Final) => None,
        };
        match (response, settled) {
            (response @ FinalResponse::Served(_), _) | (response, Some(None)) => response,
            (_, Some(Some(recorded))) => recorded,
            (FinalResponse::Rejected { .. } | FinalResponse::Failed, None) => FinalResponse::Failed,
        }
    }

    /// Returns once a quorum knows that the request has ended, with the response that another gateway has recorded, if one
    /// has.
    async fn confirm_end(
        &mut self,
        mut claim: Rc<LedgerClaim>,
        open_claim: impl Fn() -> Option<Rc<LedgerClaim>>,
    ) -> Option<FinalResponse> {
        loop {
            match claim.confirm_release().await {
                ReleaseResult::Confirmed => return None,
                // What replicas report of the completion proves nothing of the new owner, who acts until the deadline.
                ReleaseResult::Lost { completed: true } => return std::future::pending().await,
                ReleaseResult::Lost { completed: false } | ReleaseResult::NotWritten => {}
            }
            claim = loop {
                let remaining_lease = match open_claim() {
                    None => UNKNOWN_LEASE,
                    Some(claim) => match claim.outcome().await {
                        ClaimOutcome::Acquired { .. } => break claim,
                        ClaimOutcome::Completed(body) => return Some(recorded_response(body)),
                        ClaimOutcome::InProgress(remaining_lease) => remaining_lease,
                        _ => UNKNOWN_LEASE,
                    },
                };
                self.pause(remaining_lease).await;
            };
        }
    }

    /// Returns the time until the decision module would fail the request.
    fn time_left(&self) -> Duration {
        duration(self.arrival.deadline - self.context.clock.now() - self.context.response_margin)
    }

    /// Waits before the next poll while another gateway runs the request; the owner's lease ends in
    /// `remaining_lease`.
    async fn wait_for_owner(&mut self, remaining_lease: Micros) -> Step {
        // The decision module would fail the request at this time as well.
        if self.time_left().is_zero() {
            return Step::Done(FinalResponse::Failed);
        }
        self.pause(remaining_lease).await;
        Step::ClaimAgain
    }

    async fn pause(&mut self, remaining_lease: Micros) {
        let pause = poll_pause(self.polls, remaining_lease);
        self.polls += 1;
        sleep(pause.min(self.time_left())).await;
    }
}

/// Returns the response that is stored in a record.
fn recorded_response(body: Vec<u8>) -> FinalResponse {
    FinalResponse::Served(ResponseBody::Buffered(Full::new(Bytes::from(body)), None))
}
