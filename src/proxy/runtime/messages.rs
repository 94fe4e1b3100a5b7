//! Events and commands that the runtime receives.

use crate::cluster::ActiveRouting;
use crate::decision::{Arrival, CounterKey, EndpointCounts, EndpointId, Micros, QuotaLease, RequestId};
use crate::proxy::control_plane::counter::{CallNumber, CounterReply};
use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::lifecycle::handover::message::{HandoverMessage, HandoverSnapshot};
use crate::proxy::upstream::attempt_result::AttemptResult;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Sender of events to the runtime.
pub type RuntimeSender = mpsc::Sender<RuntimeEvent>;

/// Sender of commands to the runtime, which handles them before any queued event.
pub type AdminSender = mpsc::Sender<AdminCommand>;

/// Command to the runtime from an operator or from the other process of this gateway.
pub enum AdminCommand {
    /// Counts the endpoints.
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    /// Takes an endpoint out of service, or puts it back.
    SetMaintenance {
        /// Name of the endpoint at discovery.
        endpoint: String,
        /// Whether the endpoint is taken out of service rather than put back.
        in_maintenance: bool,
        /// Whether the command comes from the other process of this gateway.
        relayed: bool,
        /// Receives whether the endpoint exists, once the command is carried out.
        reply: oneshot::Sender<bool>,
    },
    /// Hands this gateway over to another process.
    HandOver {
        /// Sends messages to the successor.
        messages: mpsc::Sender<HandoverMessage>,
        /// Receives the state for the successor.
        reply: oneshot::Sender<Box<HandoverSnapshot>>,
    },
    /// Takes this gateway over from another process.
    TakeOver {
        /// State that the predecessor handed over.
        snapshot: Box<HandoverSnapshot>,
        /// Sends messages to the predecessor.
        messages: mpsc::Sender<HandoverMessage>,
        /// Notified once the decision module has taken over the snapshot.
        reply: oneshot::Sender<()>,
    },
    /// The other process has exited.
    PeerProcessExited(oneshot::Sender<()>),
}

/// Final response to a client.
pub enum FinalResponse {
    /// Response of a backend with status 200, buffered or streamed.
    Served(ResponseBody),
    /// The request was rejected and has not run, so a retry can't run it twice.
    Rejected {
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// The request failed and may have run, so a retry may run it twice.
    Failed,
}

/// Request received from a client.
pub struct NewRequest {
    /// The request as seen by the decision module, with an id assigned by this gateway rather than the client's.
    pub arrival: Arrival,
    /// The request as forwarded to backends.
    pub forward: ForwardedRequest,
    /// Receives the final response.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Identifier of one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among those of the request, from 0.
    pub number: usize,
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
}

/// Event reported to the runtime.
pub enum RuntimeEvent {
    /// A request was received.
    RequestReceived(Box<NewRequest>),
    /// The deadline of a request whose body is still arriving has changed.
    DeadlineChanged {
        /// The request.
        request: RequestId,
        /// Deadline unless it changes again.
        deadline: Micros,
    },
    /// The last byte of a request body was received.
    RequestBodyEnded {
        /// The request.
        request: RequestId,
        /// Final deadline of the request.
        deadline: Micros,
    },
    /// The client of a request closed its connection.
    ClientDisconnected(RequestId),
    /// Discovery sent an endpoint list, complete or as changes.
    EndpointsChanged(EndpointList),
    /// The address of the counter has changed.
    CounterAddressChanged(SocketAddr),
    /// The gateways have agreed on other quota leases.
    QuotaLeaseChanged(QuotaLease),
    /// Other routing rules are now in force.
    RoutingChanged(Box<ActiveRouting>),
    /// A call to the counter ended.
    CounterReplied {
        /// Key of the counter that was called.
        key: CounterKey,
        /// Number of the call.
        call: CallNumber,
        /// Result of the call.
        reply: CounterReply,
    },
    /// An attempt ended, or its streamed response started.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Result of the attempt.
        result: AttemptResult,
        /// How long the attempt was in flight.
        elapsed: Micros,
    },
    /// A streamed response ended.
    ResponseBodyEnded {
        /// Attempt whose response it was.
        attempt: AttemptId,
        /// Whether the response was received in full.
        complete: bool,
    },
}

/// Sends an event to the runtime from synchronous code. If the queue is full, a task is spawned that waits for a free
/// slot.
pub fn send_event(runtime: &RuntimeSender, event: RuntimeEvent) {
    if let Err(mpsc::error::TrySendError::Full(event)) = runtime.try_send(event) {
        let runtime = runtime.clone();
        tokio::task::spawn_local(async move { runtime.send(event).await });
    }
}
