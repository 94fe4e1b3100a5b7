//! Requests whose gateway is gone and whose clients did not come again: finished here, as far as their class allows, so that
//! they have run and their response is there for whoever asks later.

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

/// The most that are finished at one time. What finds no permit is offered again by the replica that holds its record.
const MAX_CONCURRENT: usize = 16;
/// The most tries of one request that is rejected.
const MAX_TRIES: u32 = 4;
/// The pause after its first rejection; doubled each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// A longer Retry-After is cut to this.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1600);

/// Finishes the requests that the cluster offers, for as long as the gateway lives.
pub async fn finish_all(
    context: Rc<ProxyContext>,
    cluster: Rc<ClusterTransport>,
    mut requests: mpsc::Receiver<AbandonedRequest>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
    while let Some(request) = requests.recv().await {
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let (context, cluster) = (context.clone(), cluster.clone());
        tokio::task::spawn_local(async move {
            let outcome = finish(&context, &cluster, &request).await;
            if outcome != AbandonedOutcome::AlreadyAnswered {
                cluster.count_abandoned(outcome == AbandonedOutcome::Finished);
                info!(customer = request.id.customer, ?outcome, "abandoned request");
            }
            drop(permit);
        });
    }
}

/// What became of a request that was begun before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedOutcome {
    /// It has its response, from here.
    Finished,
    /// It had one already.
    AlreadyAnswered,
    /// Another gateway has it, or its record can't be had: then nobody knows what has run.
    OwnedElsewhere,
    /// It may not run again, or was rejected in every try.
    Refused,
}

async fn finish(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    request: &AbandonedRequest,
) -> AbandonedOutcome {
    let Some((head, forward)) = deserialize(context, &request.request) else {
        return AbandonedOutcome::Refused;
    };
    let (Some(key), RequestPayload::Buffered(body)) = (head.idempotency_key, &forward.body) else {
        return AbandonedOutcome::Refused;
    };
    let record = RecordedRequest::new(&head, key, &forward, body);
    let is_the_record = (record.id, record.digest) == (request.id, request.request_digest);
    if !is_the_record || !cluster.finishes(context.rules.class_name(head.arrival.class)) {
        return AbandonedOutcome::Refused;
    }
    resume(context, cluster, &record, &head, &forward).await
}

/// How one try to resume a request ended.
enum Resumed {
    Ended(AbandonedOutcome),
    Rejected { retry_after: Duration },
}

/// Goes on with a request that was begun before and may have run, here or at a gateway that is gone, as if its client came
/// again: as far as its record and its class allow.
pub async fn resume(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    head: &RequestHead,
    forward: &ForwardedRequest,
) -> AbandonedOutcome {
    for tried in 0..MAX_TRIES {
        match try_to_resume(context, cluster, record, head, forward).await {
            Resumed::Ended(outcome) => return outcome,
            Resumed::Rejected { retry_after } => {
                let backoff = FIRST_BACKOFF * 2u32.pow(tried);
                sleep(backoff.max(retry_after.min(MAX_RETRY_AFTER))).await;
            }
        }
    }
    AbandonedOutcome::Refused
}

async fn try_to_resume(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    head: &RequestHead,
    forward: &ForwardedRequest,
) -> Resumed {
    let Some(claim) = cluster.claim(record.id, record.digest, None) else {
        return Resumed::Ended(AbandonedOutcome::OwnedElsewhere);
    };
    let attempts = match claim.outcome().await {
        ClaimOutcome::Acquired { existed: true, attempts } => prior_attempts(attempts),
        ClaimOutcome::Completed(_) => return Resumed::Ended(AbandonedOutcome::AlreadyAnswered),
        _ => return Resumed::Ended(AbandonedOutcome::OwnedElsewhere),
    };
    let arrival = arrival_again(context, head, attempts);
    let forward = ForwardedRequest { claim: Some(claim.clone()), ..forward.duplicate() };
    let response = tokio::select! {
        biased;
        () = claim.lost() => return Resumed::Ended(AbandonedOutcome::OwnedElsewhere),
        response = dispatch(context, arrival, forward) => response,
    };
    match response {
        FinalResponse::Served(_) => Resumed::Ended(AbandonedOutcome::Finished),
        FinalResponse::Rejected { retry_after } => {
            Resumed::Rejected { retry_after: retry_after.map_or(Duration::ZERO, duration) }
        }
        // The decision module gives it up: it may not run again, or no endpoint is left.
        FinalResponse::Failed => Resumed::Ended(AbandonedOutcome::Refused),
    }
}

/// The request as if its client came again now.
fn arrival_again(context: &ProxyContext, head: &RequestHead, prior_attempts: Vec<PriorAttempt>) -> Arrival {
    Arrival {
        deadline: context.clock.now() + head.budget,
        is_retry: true,
        already_counted: true,
        prior_attempts,
        ..head.arrival.clone()
    }
}
