//! A request of which the ledger keeps a record: begun here, joined, answered from its record, or taken over.

use crate::cluster::ledger::{Finding, RecordId};
use crate::decision::{Arrival, EndpointId, Micros, PriorAttempt};
use crate::proxy::cluster_transport::ledger_claim::{pause, LedgerClaim};
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::request::carried;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::downstream::server::{ProxyContext, RequestError};
use crate::proxy::runtime::FinalResponse;
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
pub fn earlier(sent: Vec<(u64, Micros)>) -> Vec<PriorAttempt> {
    sent.into_iter()
        .map(|(server, sent)| PriorAttempt { endpoint: EndpointId(server), sent_at: sent })
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
            if matches!(work.found().await, Finding::Clear { .. }) {
                let Some(other) = peers.claim(id, digest, request.clone()) else { continue };
                work = other;
            }
        }
        match work.found().await {
            Finding::Answered(body) => {
                return Ok(FinalResponse::Served(ResponseBody::Buffered(Full::new(Bytes::from(body)), None)))
            }
            Finding::Mistake => {
                let problem = "the key stands for another request\n";
                return Err(RequestError(StatusCode::UNPROCESSABLE_ENTITY, problem));
            }
            Finding::Running(left) => {
                let now = front.clock.now();
                // As late as the module itself would say so.
                if now + front.last_moment >= arrival.deadline {
                    return Ok(FinalResponse::Failed);
                }
                let wait = pause(looks, left);
                looks += 1;
                sleep(wait.min(crate::proxy::runtime::duration(arrival.deadline - now - front.last_moment)))
                    .await;
            }
            Finding::Lost | Finding::Confirmed(_) => {}
            Finding::Unheld => return Ok(begin(&work, Vec::new(), false).await),
            Finding::Clear { sent, found } => {
                tokio::select! {
                    biased;
                    () = work.lost() => {}
                    answer = begin(&work, earlier(sent), found) => return Ok(answer),
                }
            }
        }
    }
}
