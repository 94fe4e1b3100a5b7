//! The runtime's events and commands.

use crate::cluster::RoutingInForce;
use crate::decision::{Arrival, CounterKey, EndpointCounts, EndpointId, Micros, QuotaLease, RequestId};
use crate::proxy::control_plane::counter::{CallNumber, CounterReply};
use crate::proxy::control_plane::discovery::endpoint_list::EndpointList;
use crate::proxy::downstream::response_body::ResponseBody;
use crate::proxy::lifecycle::handover::message::{HandoverMessage, HandoverSnapshot};
use crate::proxy::upstream::attempt_result::AttemptResult;
use crate::proxy::upstream::forwarded_request::ForwardedRequest;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Sends the runtime events.
pub type RuntimeSender = mpsc::Sender<RuntimeEvent>;

/// Sends the runtime commands, which wait behind no event.
pub type AdminSender = mpsc::Sender<AdminCommand>;

/// What operators and the other process of this gateway ask of the runtime.
pub enum AdminCommand {
    /// Count the endpoints.
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    /// Take an endpoint out of service, or put it back.
    SetMaintenance {
        /// Its name at discovery.
        endpoint: String,
        /// Out of service, or back.
        in_maintenance: bool,
        /// The order comes from the other process of this gateway.
        relayed: bool,
        /// Receives whether there is such an endpoint, once it is done.
        reply: oneshot::Sender<bool>,
    },
    /// Another process takes this gateway over.
    HandOver {
        /// Sends that process messages.
        messages: mpsc::Sender<HandoverMessage>,
        /// Receives what that process must know.
        reply: oneshot::Sender<Box<HandoverSnapshot>>,
    },
    /// This process takes the gateway over from another.
    TakeOver {
        /// What that one handed over.
        snapshot: Box<HandoverSnapshot>,
        /// Sends that process messages.
        messages: mpsc::Sender<HandoverMessage>,
        /// Notified once the decision module has the snapshot.
        reply: oneshot::Sender<()>,
    },
    /// The other process is gone.
    PeerProcessExited(oneshot::Sender<()>),
}

/// The final answer to a client.
pub enum FinalResponse {
    /// A backend's 200, buffered or streamed.
    Served(ResponseBody),
    /// Rejected: a retry runs nothing twice.
    Rejected {
        /// How long the client should wait before it.
        retry_after: Option<Micros>,
    },
    /// Failed; a retry may run the request twice.
    Failed,
}

/// A request that a client has sent.
pub struct NewRequest {
    /// The request as the decision module sees it. Its id is new, whatever the client called it.
    pub arrival: Arrival,
    /// What is forwarded to backends.
    pub forward: ForwardedRequest,
    /// Takes the final answer.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Names one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its index among the attempts of the request.
    pub number: usize,
    /// The endpoint that it goes to.
    pub endpoint: EndpointId,
}

/// What happens outside the runtime.
pub enum RuntimeEvent {
    /// A request came in.
    RequestReceived(Box<NewRequest>),
    /// The last byte of a request's body has come.
    RequestBodyEnded {
        /// The request.
        request: RequestId,
        /// Its deadline, which counts from that byte.
        deadline: Micros,
    },
    /// The client of a request closed its connection.
    ClientDisconnected(RequestId),
    /// Discovery sent an endpoint list, complete or as changes.
    EndpointsChanged(EndpointList),
    /// The counter is called at this address from now on.
    CounterAddressChanged(SocketAddr),
    /// The gateways agree on other quota leases.
    QuotaLeaseChanged(QuotaLease),
    /// Other routing rules are in force.
    RoutingChanged(Box<RoutingInForce>),
    /// A call to the counter ended.
    CounterReplied {
        /// The counter that was called.
        key: CounterKey,
        /// Which of the calls.
        call: CallNumber,
        /// How it ended.
        reply: CounterReply,
    },
    /// An attempt ended, or its streamed response began.
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
        /// For how long it was in flight.
        elapsed: Micros,
    },
    /// A streamed response ended.
    ResponseBodyEnded {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// All of it came.
        complete: bool,
    },
}

/// Sends the runtime an event from where nothing can wait.
pub fn send_event(runtime: &RuntimeSender, event: RuntimeEvent) {
    if let Err(mpsc::error::TrySendError::Full(event)) = runtime.try_send(event) {
        let runtime = runtime.clone();
        tokio::task::spawn_local(async move { runtime.send(event).await });
    }
}
