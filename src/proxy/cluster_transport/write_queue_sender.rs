//! Writes of an isolated branch: offers requests to the write queue, reports the status of writes to clients, and
//! forwards queued writes when the queue releases them.

use super::abandoned_requests::{resume, AbandonedOutcome, LastOwner, ReleasedRecord};
use super::ledger_request::{serve_recorded, RecordedRequest};
use super::outcome_recorder::OutcomeRecorder;
use super::queued_write::QueuedWrite;
use super::serialized_request::{deserialize, serialize, DeserializedRequest};
use super::writes::OfferedWrite;
use super::ClusterTransport;
use crate::cluster::ledger::{ClaimOutcome, RecordId};
use crate::cluster::write_queue::{ForwardOutcome, WriteOutcome, WriteRequest, WriteState, WriteStatus};
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

/// Interval between checks of the uplink while the branch is isolated.
const UPLINK_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Connection time-out of an uplink check.
const UPLINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum wait for cancelled attempts to end.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Offers a request to the branch's write queue. The queue accepts it while the branch is isolated, or while earlier
/// writes of the same customer or object are pending. A request that is not queued is to be handled as usual.
pub async fn offer_write(
    cluster: &Rc<ClusterTransport>,
    head: &RequestHead,
    class: &str,
    uri: &Uri,
    headers: &HeaderMap,
    body: &Bytes,
) -> OfferedWrite {
    let object = xxh3_64(uri.path_and_query().map_or("/", |path| path.as_str()).as_bytes());
    let customer = head.arrival.customer.0;
    if !cluster.should_queue_write(class, customer, object) {
        return OfferedWrite::NotQueued;
    }
    let queue_key = head.idempotency_key.map_or(0, |key| key ^ xxh3_64(body));
    if let Some(key) = head.idempotency_key {
        let Some(claim) = cluster.claim(RecordId { customer, key }, 0, None) else {
            return OfferedWrite::NotQueued;
        };
        let outcome = claim.outcome().await;
        let is_new_repeat = head.arrival.is_retry && !cluster.holds_write(customer, queue_key);
        if may_have_been_executed_before(&outcome, is_new_repeat) {
            return OfferedWrite::NotQueued;
        }
    }
    let Some(payload) = serialize(&Method::POST, uri, headers, body) else { return OfferedWrite::NotQueued };
    let class = head.arrival.class.0.min(usize::from(u16::MAX)) as u16;
    cluster.offer_write(WriteRequest { customer, object, class, key: queue_key, payload }).await
}

/// Whether the request may be running at another gateway, or may have run there before the uplink failed. Such a
/// request must not be queued, because it could run twice. That a quorum holds no record proves it of a first try alone:
/// an earlier one may be in progress without a record at a gateway that could not reach the quorum.
fn may_have_been_executed_before(outcome: &ClaimOutcome, is_new_repeat: bool) -> bool {
    match outcome {
        ClaimOutcome::Acquired { existed: false, .. } | ClaimOutcome::Unavailable => is_new_repeat,
        _ => true,
    }
}

/// Status of a write, as sent to clients.
pub struct WriteStatusText {
    /// Whether this gateway knows the write.
    pub is_known: bool,
    /// One line, with its line break.
    pub text: String,
}

/// Formats the status of a write for clients. The texts are a wire form.
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

/// Forwards queued writes until the channel is closed.
pub async fn forward_writes(
    context: Rc<ProxyContext>,
    cluster: Rc<ClusterTransport>,
    mut writes: mpsc::Receiver<QueuedWrite>,
) {
    while let Some(queued) = writes.recv().await {
        let (context, cluster) = (context.clone(), cluster.clone());
        tokio::task::spawn_local(async move {
            let outcome = forward(&context, &cluster, &queued).await;
            cluster.record_forward_outcome(queued.write.dot, queued.attempt, outcome);
        });
    }
}

async fn forward(
    context: &ProxyContext,
    cluster: &Rc<ClusterTransport>,
    queued: &QueuedWrite,
) -> ForwardOutcome {
    let Some(DeserializedRequest { head, forward, .. }) = deserialize(context, &queued.write.payload) else {
        return ForwardOutcome::Answered(StatusCode::BAD_REQUEST.as_u16());
    };
    let record = match (head.idempotency_key, &forward.body) {
        (Some(key), RequestPayload::Buffered(body)) => Some(RecordedRequest::new(&head, key, &forward, body)),
        _ => None,
    };
    if !queued.may_have_been_executed {
        let tracker = AttemptTracker::new(false);
        let response = forward_first_time(context, cluster, record.as_ref(), &head, &forward, &tracker).await;
        if let Some(outcome) = certain_outcome(response, &tracker).await {
            return outcome;
        }
    }
    // The write may have run. If a record lists its attempts, its class may still allow another attempt.
    let Some(record) = &record else { return ForwardOutcome::Unknown };
    let last_owner = LastOwner { released: ReleasedRecord::IsOwed, client_budget: None };
    match resume(context, cluster, record, &head, &forward, last_owner).await {
        AbandonedOutcome::Finished | AbandonedOutcome::AlreadyCompleted => {
            ForwardOutcome::Answered(StatusCode::OK.as_u16())
        }
        AbandonedOutcome::OwnedElsewhere
        | AbandonedOutcome::NotResumable
        | AbandonedOutcome::Released
        | AbandonedOutcome::ClientGone => ForwardOutcome::Unknown,
    }
}

/// Forwards a write that has not run before.
async fn forward_first_time(
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

/// Returns the outcome of a write as far as the response proves it, or `None` if the write may have run.
async fn certain_outcome(
    response: Result<FinalResponse, RequestError>,
    tracker: &AttemptTracker,
) -> Option<ForwardOutcome> {
    match response {
        Ok(FinalResponse::Served(_)) => Some(ForwardOutcome::Answered(StatusCode::OK.as_u16())),
        // A rejection tells the client only that an immediate retry is safe. A queued write is retried later, so it
        // counts as not executed only if no attempt may have run.
        Ok(FinalResponse::Rejected { .. } | FinalResponse::Failed) => {
            match tracker.may_have_been_executed(CANCEL_TIMEOUT).await {
                true => None,
                false => Some(ForwardOutcome::NotExecuted),
            }
        }
        Err(error) => Some(ForwardOutcome::Answered(error.status().as_u16())),
    }
}

/// Checks the uplink with test connections while the branch is isolated, because no requests are sent to backends
/// then.
pub async fn check_uplink(outcomes: Rc<OutcomeRecorder>) {
    loop {
        sleep(UPLINK_CHECK_INTERVAL).await;
        let Some(address) = outcomes.random_backend().filter(|_| outcomes.is_isolated()) else { continue };
        let connection = timeout(UPLINK_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = matches!(connection, Ok(Ok(_)));
        debug!(%address, connected, "checked the uplink");
        outcomes.record_reachability(connected);
    }
}
