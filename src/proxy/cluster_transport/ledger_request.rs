//! A request of which the ledger keeps a record: begun here, joined, answered from its record, or taken over.

use crate::cluster::ledger::{ClaimOutcome, RecordId, RecordedAttempt};
use crate::decision::{Arrival, EndpointId, PriorAttempt};
use crate::proxy::cluster_transport::ledger_claim::{pause, LedgerClaim};
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::request::carried;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::downstream::server::{ProxyContext, RequestError};
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use std::rc::Rc;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

/// The record of a request, and what stands for what its client sent.
pub fn record_of(asked: &RequestHead, key: u64, forward: &ForwardedRequest, body: &[u8]) -> (RecordId, u64) {
    let mut digest = Xxh3::new();
    digest.update(forward.method.as_str().as_bytes());
    digest.update(forward.uri.to_string().as_bytes());
    digest.update(body);
    (RecordId { customer: asked.arrival.customer.0, key }, digest.digest())
}

/// Attempts of owners before this one, as the module is told of them.
pub fn earlier(attempts: Vec<RecordedAttempt>) -> Vec<PriorAttempt> {
    attempts
        .into_iter()
        .map(|attempt| PriorAttempt { endpoint: EndpointId(attempt.endpoint), sent_at: attempt.sent_at })
        .collect()
}

/// Takes a request through the ledger to its answer, by its deadline. `request`: it is left with its record's holders,
/// to be finished whoever dies.
pub async fn recorded(
    front: &ProxyContext,
    peers: &Rc<ClusterTransport>,
    ((id, digest), request): ((RecordId, u64), Option<Vec<u8>>),
    arrival: Arrival,
    forward: impl Fn(Option<Rc<LedgerClaim>>) -> ForwardedRequest,
) -> Result<FinalResponse, RequestError> {
    // Most come for the first time: they go ahead while the holders are asked.
    let mut ahead = !arrival.is_retry;
    let mut looks = 0;
    loop {
        let Some(mut work) = peers.claim(id, digest, request.clone()) else {
            return Ok(carried(front, arrival, forward(None)).await);
        };
        let begin = |work: &Rc<LedgerClaim>, earlier: Vec<PriorAttempt>, counted: bool| {
            let arrival = Arrival { already_counted: counted, prior_attempts: earlier, ..arrival.clone() };
            carried(front, arrival, forward(Some(work.clone())))
        };
        if std::mem::take(&mut ahead) {
            tokio::select! {
                biased;
                () = work.overtaken() => {}
                answer = begin(&work, Vec::new(), false) => return Ok(answer),
            }
            // What went ahead is called back, and may be about to be sent under this claim: only another may write.
            if matches!(work.found().await, ClaimOutcome::Acquired { .. }) {
                let Some(other) = peers.claim(id, digest, request.clone()) else { continue };
                work = other;
            }
        }
        match work.found().await {
            ClaimOutcome::Completed(body) => {
                return Ok(FinalResponse::Served(ResponseBody::Buffered(Full::new(Bytes::from(body)), None)))
            }
            ClaimOutcome::KeyReused => {
                let problem = "the key stands for another request\n";
                return Err(RequestError(StatusCode::UNPROCESSABLE_ENTITY, problem));
            }
            ClaimOutcome::InProgress(left) => {
                let now = front.clock.now();
                // As late as the module itself would say so.
                if now + front.last_moment >= arrival.deadline {
                    return Ok(FinalResponse::Failed);
                }
                let wait = pause(looks, left);
                looks += 1;
                sleep(
                    wait.min(crate::proxy::runtime::clock::duration(
                        arrival.deadline - now - front.last_moment,
                    )),
                )
                .await;
            }
            ClaimOutcome::Lost | ClaimOutcome::Confirmed(_) => {}
            ClaimOutcome::Unavailable => return Ok(begin(&work, Vec::new(), false).await),
            ClaimOutcome::Acquired { attempts, existed } => {
                tokio::select! {
                    biased;
                    () = work.lost() => {}
                    answer = begin(&work, earlier(attempts), existed) => return Ok(answer),
                }
            }
        }
    }
}
