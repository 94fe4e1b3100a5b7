//! Abandoned requests: the gateway that owned the request has failed, and its client has not retried. They are
//! finished here as far as their class allows, so that they have run and a later retry gets the recorded response.

use super::ledger_request::{prior_attempts, RecordedRequest};
use super::serialized_request::deserialize;
use super::ClusterTransport;
use crate::cluster::ledger::{AbandonedRequest, ClaimOutcome};
use crate::decision::{Arrival, PriorAttempt};
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::runtime::clock::duration;
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::sleep;
use tracing::info;

/// Maximum number of requests that are finished concurrently. A request without a permit is skipped; a replica of its
/// record offers it again later.
const MAX_CONCURRENT_REQUESTS: usize = 16;
/// Maximum number of tries of a request that is rejected.
const MAX_TRIES: u32 = 4;
/// Backoff after the first rejection; doubled with each try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum wait for a Retry-After; a longer one is shortened to this.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1600);

/// Finishes the abandoned requests that the cluster offers, until the channel is closed.
pub async fn finish_abandoned_requests(
    context: Rc<ProxyContext>,
    cluster: Rc<ClusterTransport>,
    mut requests: mpsc::Receiver<AbandonedRequest>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    while let Some(request) = requests.recv().await {
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let (context, cluster) = (context.clone(), cluster.clone());
        tokio::task::spawn_local(async move {
            let outcome = finish(&context, &cluster, &request).await;
            if !matches!(outcome, AbandonedOutcome::AlreadyCompleted | AbandonedOutcome::Released) {
                cluster.count_abandoned(outcome == AbandonedOutcome::Finished);
                info!(customer = request.id.customer, ?outcome, "abandoned request handled");
            }
            drop(permit);
        });
    }
}

/// Result of finishing or resuming a request that was begun before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedOutcome {
    /// The request was finished here and has its response.
    Finished,
    /// The request already had a response.
    AlreadyCompleted,
    /// The owner has given the request up and answered its client, which the replica that reported it has missed.
    Released,
    /// Another gateway owns the record, or the record could not be acquired, so that the earlier attempts are
    /// unknown.
    OwnedElsewhere,
    /// The request may not run again, or was rejected in every try.
    NotResumable,
}

async fn finish(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    request: &AbandonedRequest,
) -> AbandonedOutcome {
    let Some((head, forward)) = deserialize(context, &request.request) else {
        return AbandonedOutcome::NotResumable;
    };
    let (Some(key), RequestPayload::Buffered(body)) = (head.idempotency_key, &forward.body) else {
        return AbandonedOutcome::NotResumable;
    };
    let record = RecordedRequest::new(&head, key, &forward, body);
    let matches_record = (record.id, record.digest) == (request.id, request.request_digest);
    if !matches_record || !cluster.finishes_abandoned(context.rules.class_name(head.arrival.class)) {
        return AbandonedOutcome::NotResumable;
    }
    resume(context, cluster, &record, &head, &forward, ReleasedRecord::IsAnswered).await
}

/// What it means that the last owner has given up the record of a request that is to be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleasedRecord {
    /// The owner has answered its client, with a promise of no effect if it has refused the request.
    IsAnswered,
    /// The owner forwarded a queued write, which is still owed.
    IsOwed,
}

/// Result of one try to resume a request.
enum ResumeResult {
    Ended(AbandonedOutcome),
    Rejected { retry_after: Duration },
}

/// Resumes a request that was begun before and may have run, here or at a failed gateway. The request is handled like
/// a retry by its client, as far as its record and its class allow.
pub async fn resume(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    head: &RequestHead,
    forward: &ForwardedRequest,
    mut released: ReleasedRecord,
) -> AbandonedOutcome {
    for earlier_tries in 0..MAX_TRIES {
        match try_resume(context, cluster, record, head, forward, released).await {
            ResumeResult::Ended(outcome) => return outcome,
            ResumeResult::Rejected { retry_after } => {
                // The last owner was this gateway.
                released = ReleasedRecord::IsOwed;
                let backoff = INITIAL_BACKOFF * 2u32.pow(earlier_tries);
                sleep(backoff.max(retry_after.min(MAX_RETRY_AFTER))).await;
            }
        }
    }
    AbandonedOutcome::NotResumable
}

async fn try_resume(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    head: &RequestHead,
    forward: &ForwardedRequest,
    released_record: ReleasedRecord,
) -> ResumeResult {
    let Some(claim) = cluster.claim(record.id, record.digest, None) else {
        return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere);
    };
    let attempts = match claim.outcome().await {
        ClaimOutcome::Acquired { released: true, .. } if released_record == ReleasedRecord::IsAnswered => {
            return ResumeResult::Ended(AbandonedOutcome::Released);
        }
        ClaimOutcome::Acquired { existed: true, attempts, .. } => prior_attempts(attempts),
        ClaimOutcome::Completed(_) => return ResumeResult::Ended(AbandonedOutcome::AlreadyCompleted),
        _ => return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere),
    };
    let arrival = retry_arrival(context, head, attempts);
    let forward = ForwardedRequest { claim: Some(claim.clone()), ..forward.duplicate() };
    let response = tokio::select! {
        biased;
        () = claim.wait_until_lost() => return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere),
        response = dispatch(context, arrival, forward) => response,
    };
    match response {
        FinalResponse::Served(_) => ResumeResult::Ended(AbandonedOutcome::Finished),
        FinalResponse::Rejected { retry_after } => {
            ResumeResult::Rejected { retry_after: retry_after.map_or(Duration::ZERO, duration) }
        }
        // The decision module failed the request: it may not run again, or no endpoint is left.
        FinalResponse::Failed => ResumeResult::Ended(AbandonedOutcome::NotResumable),
    }
}

/// Arrival of the request as if its client retried it now.
fn retry_arrival(context: &ProxyContext, head: &RequestHead, prior_attempts: Vec<PriorAttempt>) -> Arrival {
    Arrival {
        deadline: context.clock.now() + head.budget,
        is_retry: true,
        already_counted: true,
        prior_attempts,
        ..head.arrival.clone()
    }
}
