//! Abandoned requests: the gateway that owned the request is not heard from, and its client has not retried. They are
//! finished here as far as their class allows, so that they have run and a later retry gets the recorded response.
//!
//! An owner that is not heard from may have failed, or may be cut off and still have its client. It answers that client
//! only with the confirmation of a quorum, or at the client's deadline. Nothing is therefore sent for it after that time.

use super::ledger_claim::LedgerClaim;
use super::ledger_request::{prior_attempts, RecordedRequest};
use super::serialized_request::{deserialize, DeserializedRequest};
use super::ClusterTransport;
use crate::cluster::ledger::{AbandonedRequest, ClaimOutcome, ROUND_TRIP_LIMIT};
use crate::decision::{Arrival, Micros, PriorAttempt};
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
/// How long before the deadline of the owner's client the last attempt may begin. Covers the errors of the record's age at
/// two gateways.
const DEADLINE_MARGIN: Micros = Micros(2 * ROUND_TRIP_LIMIT.0);
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
    /// The time of the owner's client is over, or nearly so.
    ClientGone,
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
    let Some(DeserializedRequest { head, forward, client_budget }) = deserialize(context, &request.request)
    else {
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
    let owner = LastOwner { released: ReleasedRecord::IsAnswered, client_budget: Some(client_budget) };
    resume(context, cluster, &record, &head, &forward, owner).await
}

/// What it means that the last owner has given up the record of a request that is to be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleasedRecord {
    /// The owner has answered its client, with a promise of no effect if it has refused the request.
    IsAnswered,
    /// The owner forwarded a queued write, which is still owed.
    IsOwed,
}

/// What is known of the last owner of a request that is to be resumed.
#[derive(Debug, Clone, Copy)]
pub struct LastOwner {
    /// What it means that it has given the record up.
    pub released: ReleasedRecord,
    /// Time budget of its client, which may still wait; `None` if the request has no client.
    pub client_budget: Option<Micros>,
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
    mut last_owner: LastOwner,
) -> AbandonedOutcome {
    for earlier_tries in 0..MAX_TRIES {
        match try_resume(context, cluster, record, head, forward, last_owner).await {
            ResumeResult::Ended(outcome) => return outcome,
            ResumeResult::Rejected { retry_after } => {
                // From now on this gateway is the last owner.
                last_owner.released = ReleasedRecord::IsOwed;
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
    last_owner: LastOwner,
) -> ResumeResult {
    let Some(claim) = cluster.claim(record.id, record.digest, None) else {
        return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere);
    };
    let arrival = match claim.outcome().await {
        ClaimOutcome::Acquired { released: true, .. }
            if last_owner.released == ReleasedRecord::IsAnswered =>
        {
            return ResumeResult::Ended(AbandonedOutcome::Released);
        }
        ClaimOutcome::Acquired { existed: true, attempts, created_at, .. } => {
            let client_deadline = last_owner.client_budget.map(|budget| created_at + budget);
            retry_arrival(context, head, prior_attempts(attempts), client_deadline)
        }
        ClaimOutcome::Completed(_) => return ResumeResult::Ended(AbandonedOutcome::AlreadyCompleted),
        _ => return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere),
    };
    if arrival.deadline <= context.clock.now() {
        return ResumeResult::Ended(AbandonedOutcome::ClientGone);
    }
    let forward = ForwardedRequest { claim: Some(claim.clone()), ..forward.duplicate() };
    let response = tokio::select! {
        biased;
        () = wait_until_others_act(&claim, last_owner) => {
            return ResumeResult::Ended(AbandonedOutcome::OwnedElsewhere);
        }
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

/// Waits until another gateway may send the request: once it owns the record or, where the request is stored at the
/// record's replicas, once the lease of this one has ended.
async fn wait_until_others_act(claim: &LedgerClaim, last_owner: LastOwner) {
    match last_owner.client_budget {
        Some(_) => claim.wait_until_lapsed().await,
        None => claim.wait_until_lost().await,
    }
}

/// Arrival of the request as if its client retried it now. No attempt begins later than [`DEADLINE_MARGIN`] before
/// `client_deadline`, if there is a client.
fn retry_arrival(
    context: &ProxyContext,
    head: &RequestHead,
    prior_attempts: Vec<PriorAttempt>,
    client_deadline: Option<Micros>,
) -> Arrival {
    let class_deadline = context.clock.now() + head.budget;
    let last_begin = client_deadline.map_or(class_deadline, |deadline| deadline - DEADLINE_MARGIN);
    Arrival {
        deadline: class_deadline.min(last_begin),
        is_retry: true,
        already_counted: true,
        prior_attempts,
        ..head.arrival.clone()
    }
}
