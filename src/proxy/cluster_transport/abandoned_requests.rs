//! Requests whose gateway is gone and whose clients did not come again: finished here, as far as their class allows, so
//! that they ran and their answer is there for whoever asks later.

use crate::cluster::ledger::{AbandonedRequest, ClaimOutcome};
use crate::decision::Arrival;
use crate::proxy::cluster_transport::ledger_request::{prior_attempts, RecordedRequest};
use crate::proxy::cluster_transport::serialized_request;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::runtime::FinalResponse;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::sleep;
use tracing::info;

/// So many are finished at one time; a holder offers what it offered before again.
const AT_ONCE: usize = 16;
/// What was refused is tried again, so often at the most, after this, doubled each time.
const TRIES: u32 = 4;
const AGAIN: Duration = Duration::from_millis(200);

/// Finishes what is offered, for as long as the gateway lives.
pub async fn finish_all(
    front: Rc<ProxyContext>,
    peers: Rc<ClusterTransport>,
    mut orphans: mpsc::Receiver<AbandonedRequest>,
) {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    while let Some(orphan) = orphans.recv().await {
        let Ok(place) = places.clone().try_acquire_owned() else { continue };
        let (front, peers) = (front.clone(), peers.clone());
        tokio::task::spawn_local(async move {
            match finish(&front, &peers, &orphan).await {
                AbandonedOutcome::Answered => {}
                gone => {
                    peers.finished(gone == AbandonedOutcome::Finished);
                    info!(customer = orphan.id.customer, ?gone, "a request whose gateway is gone");
                }
            }
            drop(place);
        });
    }
}

/// What became of work that was begun before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonedOutcome {
    /// It has its answer, from here.
    Finished,
    /// It had one already.
    Answered,
    /// Another has it in hand, or its record is not to be had: then nobody knows what has run.
    Elsewhere,
    /// It may not run again, or was refused for as long as its record let it be tried.
    Refused,
}

async fn finish(
    front: &ProxyContext,
    peers: &Rc<ClusterTransport>,
    orphan: &AbandonedRequest,
) -> AbandonedOutcome {
    let Some((asked, forward)) = serialized_request::request(front, &orphan.request) else {
        return AbandonedOutcome::Refused;
    };
    let (Some(key), RequestPayload::Buffered(body)) = (asked.idempotency_key, &forward.body) else {
        return AbandonedOutcome::Refused;
    };
    let record = RecordedRequest::new(&asked, key, &forward, body);
    let fits = (record.id, record.digest) == (orphan.id, orphan.request_digest)
        && peers.finishes(front.rules.class_name(asked.arrival.class));
    match fits {
        true => go_on(front, peers, &record, &asked, &forward).await,
        false => AbandonedOutcome::Refused,
    }
}

/// Goes on with work that was begun before and may have run, here or at a gateway that is gone, as if its client came
/// again: as far as its record and its class allow.
pub async fn go_on(
    front: &ProxyContext,
    peers: &Rc<ClusterTransport>,
    record: &RecordedRequest,
    asked: &RequestHead,
    forward: &ForwardedRequest,
) -> AbandonedOutcome {
    for tried in 0..TRIES {
        let Some(work) = peers.claim(record.id, record.digest, None) else {
            return AbandonedOutcome::Elsewhere;
        };
        let attempts = match work.outcome().await {
            ClaimOutcome::Acquired { existed: true, attempts } => attempts,
            ClaimOutcome::Completed(_) => return AbandonedOutcome::Answered,
            _ => return AbandonedOutcome::Elsewhere,
        };
        let deadline = front.clock.now() + asked.budget;
        let of_before = Arrival {
            is_retry: true,
            already_counted: true,
            prior_attempts: prior_attempts(attempts),
            ..asked.arrival.clone()
        };
        let with = ForwardedRequest { claim: Some(work.clone()), ..forward.duplicate() };
        let answer = tokio::select! {
            biased;
            () = work.lost() => return AbandonedOutcome::Elsewhere,
            answer = dispatch(front, Arrival { deadline, ..of_before }, with) => answer,
        };
        match answer {
            FinalResponse::Served(_) => return AbandonedOutcome::Finished,
            FinalResponse::Rejected { retry_after: wait } => {
                let told = wait.map_or(Duration::ZERO, crate::proxy::runtime::duration);
                drop(work);
                sleep((AGAIN * 2u32.pow(tried)).max(told.min(AGAIN * 8))).await;
            }
            // The module gives it up: it may not run again, or no server is left.
            FinalResponse::Failed => return AbandonedOutcome::Refused,
        }
    }
    AbandonedOutcome::Refused
}
