//! Writes of a branch that is cut off: taken from clients, told of to whoever asks, and sent on when the fleet part says so.

use crate::cluster::ledger::{ClaimOutcome, RecordId};
use crate::cluster::write_queue::{
    Dot, ForwardOutcome, Write, WriteOutcome, WriteRequest, WriteState, WriteStatus,
};
use crate::decision::Arrival;
use crate::proxy::cluster_transport::abandoned_requests::{go_on, AbandonedOutcome};
use crate::proxy::cluster_transport::ledger_request::{serve_recorded, RecordedRequest};
use crate::proxy::cluster_transport::outcome_recorder::OutcomeRecorder;
use crate::proxy::cluster_transport::serialized_request;
use crate::proxy::cluster_transport::ClusterTransport;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::runtime::FinalResponse;
use crate::proxy::upstream::attempt_tracker::AttemptTracker;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tracing::debug;
use xxhash_rust::xxh3::xxh3_64;

/// Between two looks outside while the branch is cut off.
const LOOK: Duration = Duration::from_millis(300);
/// The longest wait for a connection then.
const DIAL: Duration = Duration::from_millis(250);
/// An attempt that is called off has ended by then.
const CALLED_OFF: Duration = Duration::from_millis(500);
/// A write has so long for its votes; the fleet part gives up somewhat earlier.
const ACCEPT: Duration = Duration::from_millis(600);

/// A write that is to be sent on.
pub struct QueuedWrite {
    /// The write.
    pub write: Box<Write>,
    /// Which try.
    pub tries: u16,
    /// An owner before this one may have sent it.
    pub before: bool,
}

/// Accepts a request as a write of the branch, where it is cut off or others that it comes after wait. Its name, or
/// none where it goes its usual way.
pub async fn accept_write(
    peers: &Rc<ClusterTransport>,
    asked: &RequestHead,
    class: &str,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> Option<Dot> {
    let object = xxh3_64(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    let customer = asked.arrival.customer.0;
    if !peers.takes_writes(class, customer, object) {
        return None;
    }
    // One that a gateway has in hand, or had, may have run before the line went down.
    if let Some(key) = asked.idempotency_key {
        let id = RecordId { customer, key };
        let found = peers.claim(id, 0, None)?.outcome().await;
        let new = matches!(found, ClaimOutcome::Acquired { existed: false, .. });
        if !new && (asked.arrival.is_retry || !matches!(found, ClaimOutcome::Unavailable)) {
            return None;
        }
    }
    let payload = serialized_request::serialize(&Method::POST, uri, headers, body)?;
    let key = asked.idempotency_key.map_or(0, |key| key ^ xxh3_64(body));
    let class = asked.arrival.class.0.min(usize::from(u16::MAX)) as u16;
    let request = WriteRequest { customer, object, class, key, payload };
    timeout(ACCEPT, peers.accept_write(request)).await.ok().flatten()
}

/// What is told of a write.
pub fn status_text(status: Option<WriteStatus>) -> (bool, String) {
    let words = match status {
        Some(WriteStatus::Known(WriteState::Pending(_))) => "waiting".to_string(),
        Some(WriteStatus::Known(WriteState::Sent(_))) => "sent".to_string(),
        Some(WriteStatus::Known(WriteState::Ended(WriteOutcome::Completed(status)))) => {
            format!("done {status}")
        }
        Some(WriteStatus::Known(WriteState::Ended(WriteOutcome::Superseded(by)))) => {
            format!("superseded by {by}")
        }
        Some(WriteStatus::Known(WriteState::Ended(WriteOutcome::Blocked(by)))) => format!("stopped by {by}"),
        Some(WriteStatus::Known(WriteState::Ended(WriteOutcome::Expired))) => "expired".to_string(),
        Some(WriteStatus::Known(WriteState::Ended(WriteOutcome::Unknown))) => {
            "unknown: it may have run".to_string()
        }
        Some(WriteStatus::Lost) | None => "lost, or never accepted".to_string(),
    };
    (matches!(status, Some(WriteStatus::Known(_))), words + "\n")
}

/// Sends writes on for as long as the gateway lives.
pub async fn send_on(
    front: Rc<ProxyContext>,
    peers: Rc<ClusterTransport>,
    mut orders: mpsc::Receiver<QueuedWrite>,
) {
    while let Some(order) = orders.recv().await {
        let (front, peers) = (front.clone(), peers.clone());
        tokio::task::spawn_local(async move {
            let (dot, tries) = (order.write.dot, order.tries);
            let fate = sent(&front, &peers, &order).await;
            peers.write_ended(dot, tries, fate);
        });
    }
}

async fn sent(front: &ProxyContext, peers: &Rc<ClusterTransport>, order: &QueuedWrite) -> ForwardOutcome {
    let Some((asked, forward)) = serialized_request::request(front, &order.write.payload) else {
        return ForwardOutcome::Answered(400);
    };
    let record = match (asked.idempotency_key, &forward.body) {
        (Some(key), RequestPayload::Buffered(body)) => {
            Some(RecordedRequest::new(&asked, key, &forward, body))
        }
        _ => None,
    };
    let tries = AttemptTracker::new(order.before);
    if !order.before {
        let deadline = front.clock.now() + asked.budget;
        let arrival = Arrival { deadline, ..asked.arrival.clone() };
        let with =
            |work| ForwardedRequest { claim: work, tracker: Some(tries.clone()), ..forward.duplicate() };
        let answer = match &record {
            Some(record) => serve_recorded(front, peers, record, arrival, with).await,
            None => Ok(dispatch(front, arrival, with(None)).await),
        };
        match answer {
            Ok(FinalResponse::Served(_)) => return ForwardOutcome::Answered(200),
            // Whether trying again is harmless for a client that comes at once says nothing of later.
            Ok(FinalResponse::Rejected { .. } | FinalResponse::Failed)
                if !tries.may_have_run(CALLED_OFF).await =>
            {
                return ForwardOutcome::NotExecuted
            }
            Ok(_) => {}
            Err(problem) => return ForwardOutcome::Answered(problem.status().as_u16()),
        }
    }
    // It may have run: with a record of its attempts its class may yet allow it to be sent again.
    match &record {
        Some(record) => match go_on(front, peers, record, &asked, &forward).await {
            AbandonedOutcome::Finished | AbandonedOutcome::Answered => ForwardOutcome::Answered(200),
            AbandonedOutcome::Elsewhere | AbandonedOutcome::Refused => ForwardOutcome::Unknown,
        },
        None => ForwardOutcome::Unknown,
    }
}

/// Looks outside while the branch is cut off: no request does.
pub async fn look_outside(arms: Rc<OutcomeRecorder>) {
    loop {
        sleep(LOOK).await;
        let Some(address) = arms.outside().filter(|_| arms.is_cut()) else { continue };
        let answered = matches!(timeout(DIAL, TcpStream::connect(address)).await, Ok(Ok(_)));
        debug!(%address, answered, "a look outside");
        arms.saw(answered);
    }
}
