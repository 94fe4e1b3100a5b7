//! Writes of a branch that is cut off: offered by clients, asked for by them later, and forwarded once the write queue says
//! so.

use super::abandoned_requests::{resume, AbandonedOutcome};
use super::ledger_request::{serve_recorded, RecordedRequest};
use super::outcome_recorder::OutcomeRecorder;
use super::queued_write::QueuedWrite;
use super::serialized_request::{deserialize, serialize};
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordId};
use crate::cluster::write_queue::{Dot, ForwardOutcome, WriteOutcome, WriteRequest, WriteState, WriteStatus};
use crate::decision::Arrival;
use crate::proxy::downstream::context::ProxyContext;
use crate::proxy::downstream::dispatch::dispatch;
use crate::proxy::downstream::request_error::RequestError;
use crate::proxy::downstream::request_head::RequestHead;
use crate::proxy::runtime::messages::FinalResponse;
use crate::proxy::upstream::attempt_tracker::AttemptTracker;
use crate::proxy::upstream::forwarded_request::{ForwardedRequest, RequestPayload};
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tracing::debug;
use xxhash_rust::xxh3::xxh3_64;

/// Between two checks of the uplink while the branch is cut off.
const UPLINK_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The longest wait for a connection in such a check.
const UPLINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An attempt that is cancelled has ended by then.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for the votes on a write; the write queue gives up somewhat earlier.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Offers a request to the branch's write queue, which takes it while the branch is cut off, or behind earlier writes that
/// wait. Returns the write's name; none: the request goes its usual way.
pub async fn accept_write(
    cluster: &Rc<ClusterTransport>,
    head: &RequestHead,
    class: &str,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> Option<Dot> {
    let object = xxh3_64(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    let customer = head.arrival.customer.0;
    if !cluster.takes_writes(class, customer, object) {
        return None;
    }
    if let Some(key) = head.idempotency_key {
        let id = RecordId { customer, key };
        let outcome = cluster.claim(id, 0, None)?.outcome().await;
        if may_have_run_before(&outcome, head.arrival.is_retry) {
            return None;
        }
    }
    let payload = serialize(&Method::POST, uri, headers, body)?;
    let key = head.idempotency_key.map_or(0, |key| key ^ xxh3_64(body));
    let class = head.arrival.class.0.min(usize::from(u16::MAX)) as u16;
    let request = WriteRequest { customer, object, class, key, payload };
    timeout(ACCEPT_TIMEOUT, cluster.accept_write(request)).await.ok().flatten()
}

/// Guards against queueing a request that runs at another gateway, or ran there before the uplink failed.
fn may_have_run_before(outcome: &ClaimOutcome, is_retry: bool) -> bool {
    match outcome {
        ClaimOutcome::Acquired { existed: false, .. } => false,
        ClaimOutcome::Unavailable => is_retry,
        _ => true,
    }
}

/// What clients are told of a write.
pub struct WriteStatusText {
    /// The write is known here.
    pub is_known: bool,
    /// One line.
    pub text: String,
}

/// What clients are told of a write: a wire form.
pub fn status_text(status: Option<WriteStatus>) -> WriteStatusText {
    let text = match &status {
        Some(WriteStatus::Known(state)) => state_text(state),
        Some(WriteStatus::Lost) | None => "lost, or never accepted".to_string(),
    };
    WriteStatusText { is_known: matches!(status, Some(WriteStatus::Known(_))), text: text + "\n" }
}

fn state_text(state: &WriteState) -> String {
    match state {
        WriteState::Pending(_) => "waiting".to_string(),
        WriteState::Sent(_) => "sent".to_string(),
        WriteState::Ended(WriteOutcome::Completed(status)) => format!("done {status}"),
        WriteState::Ended(WriteOutcome::Superseded(by)) => format!("superseded by {by}"),
        WriteState::Ended(WriteOutcome::Blocked(by)) => format!("stopped by {by}"),
        WriteState::Ended(WriteOutcome::Expired) => "expired".to_string(),
        WriteState::Ended(WriteOutcome::Unknown) => "unknown: it may have run".to_string(),
    }
}

/// Forwards writes for as long as the gateway lives.
pub async fn forward_writes(
    context: Rc<ProxyContext>,
    cluster: Rc<ClusterTransport>,
    mut writes: mpsc::Receiver<QueuedWrite>,
) {
    while let Some(queued) = writes.recv().await {
        let (context, cluster) = (context.clone(), cluster.clone());
        tokio::task::spawn_local(async move {
            let outcome = forward(&context, &cluster, &queued).await;
            cluster.write_ended(queued.write.dot, queued.attempt, outcome);
        });
    }
}

async fn forward(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    queued: &QueuedWrite,
) -> ForwardOutcome {
    let Some((head, forward)) = deserialize(context, &queued.write.payload) else {
        return ForwardOutcome::Answered(StatusCode::BAD_REQUEST.as_u16());
    };
    let record = match (head.idempotency_key, &forward.body) {
        (Some(key), RequestPayload::Buffered(body)) => Some(RecordedRequest::new(&head, key, &forward, body)),
        _ => None,
    };
    if !queued.may_have_run {
        let tracker = AttemptTracker::new(false);
        let response = run(context, cluster, record.as_ref(), &head, &forward, &tracker).await;
        if let Some(outcome) = certain_outcome(response, &tracker).await {
            return outcome;
        }
    }
    // It may have run: with a record of its attempts its class may yet allow it to be sent again.
    let Some(record) = &record else { return ForwardOutcome::Unknown };
    match resume(context, cluster, record, &head, &forward).await {
        AbandonedOutcome::Finished | AbandonedOutcome::AlreadyAnswered => {
            ForwardOutcome::Answered(StatusCode::OK.as_u16())
        }
        AbandonedOutcome::OwnedElsewhere | AbandonedOutcome::Refused => ForwardOutcome::Unknown,
    }
}

/// Runs a write that has not run before.
async fn run(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    record: Option<&RecordedRequest>,
    head: &RequestHead,
    forward: &ForwardedRequest,
    tracker: &Rc<AttemptTracker>,
) -> Result<FinalResponse, RequestError> {
    let deadline = context.clock.now() + head.budget;
    let arrival = Arrival { deadline, ..head.arrival.clone() };
    let tracked = |claim| ForwardedRequest { claim, tracker: Some(tracker.clone()), ..forward.duplicate() };
    match record {
        Some(record) => serve_recorded(context, cluster, record, arrival, tracked).await,
        None => Ok(dispatch(context, arrival, tracked(None)).await),
    }
}

/// What a response proves of a write. None: it may have run.
async fn certain_outcome(
    response: Result<FinalResponse, RequestError>,
    tracker: &AttemptTracker,
) -> Option<ForwardOutcome> {
    match response {
        Ok(FinalResponse::Served(_)) => Some(ForwardOutcome::Answered(StatusCode::OK.as_u16())),
        // That a retry is harmless for a client that comes at once says nothing of a later one.
        Ok(FinalResponse::Rejected { .. } | FinalResponse::Failed) => {
            match tracker.may_have_run(CANCEL_TIMEOUT).await {
                true => None,
                false => Some(ForwardOutcome::NotExecuted),
            }
        }
        Err(error) => Some(ForwardOutcome::Answered(error.status().as_u16())),
    }
}

/// Checks the uplink while the branch is cut off: no request does.
pub async fn check_uplink(outcomes: Rc<OutcomeRecorder>) {
    loop {
        sleep(UPLINK_CHECK_INTERVAL).await;
        let Some(address) = outcomes.random_backend().filter(|_| outcomes.is_isolated()) else { continue };
        let connected = timeout(UPLINK_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let answered = matches!(connected, Ok(Ok(_)));
        debug!(%address, answered, "checked the uplink");
        outcomes.record_reachability(answered);
    }
}
