//! Events, the input of the decision module.

use super::endpoint::{EndpointUpdate, LoadReport, WatchScope};
use super::ids::{ClassId, CounterKey, CustomerId, EndpointId, PlanId, RequestId, TimerId};
use super::quota_lease::QuotaLease;
use super::routing_rules::RoutingRules;
use super::time::Micros;
use strum::{IntoStaticStr, VariantArray};

/// An event that a gateway's decisions depend on.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was received in full or in part, or could not be fetched.
    EndpointsChanged {
        /// Whether `endpoints` holds the complete list or only changes.
        scope: WatchScope,
        /// Entries of the list.
        endpoints: Vec<EndpointUpdate>,
    },
    /// A request arrived.
    RequestArrived(Arrival),
    /// A timer came due.
    TimerFired {
        /// Timer that came due.
        timer: TimerId,
    },
    /// A streamed response has started. From here on the request is not retried, rejected or ended at its deadline.
    StreamStarted {
        /// Request whose response has started.
        request: RequestId,
    },
    /// The first bytes of a long response have arrived. The client determines how fast the rest is read.
    ResponseStarted {
        /// Request whose response has started.
        request: RequestId,
        /// Index of the attempt among the request's attempts, prior attempts included.
        attempt: usize,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// The deadline of a request with a streamed body has changed, because its body made progress or is held up.
    DeadlineChanged {
        /// Request whose deadline has changed.
        request: RequestId,
        /// Deadline unless it changes again.
        deadline: Micros,
    },
    /// The last byte of a streamed request body has arrived.
    RequestBodyEnded {
        /// Request whose body has ended.
        request: RequestId,
        /// Final deadline.
        deadline: Micros,
    },
    /// The client closed the connection or gave up.
    ClientDisconnected {
        /// Request of the client.
        request: RequestId,
    },
    /// A call to the counter service ended.
    CounterReplied {
        /// Counter that was called.
        key: CounterKey,
        /// Outcome of the call.
        outcome: Outcome,
        /// Total of the counter; valid only if the call succeeded.
        total: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An operator took an endpoint out of service, or put it back. This overrides the endpoint list.
    MaintenanceChanged {
        /// Endpoint that the operator chose.
        endpoint: EndpointId,
        /// Whether the endpoint is now out of service.
        in_maintenance: bool,
    },
    /// The other process of this gateway has ended.
    PeerProcessExited,
    /// The gateways agreed on different quota leases.
    QuotaLeaseChanged(QuotaLease),
    /// Different routing rules came into force.
    RoutingChanged(RoutingRules),
}

/// A request that arrived.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Plan of the customer.
    pub plan: PlanId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Number of gateways that receive this customer's requests.
    pub gateway_count: u32,
    /// Number of the first of these gateways. The others have the numbers that follow, wrapping around to 0.
    pub first_gateway: u32,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// Cost in quota units.
    pub units: f64,
    /// Whether the client marked this as a retry of a request that was rejected, failed or abandoned.
    pub is_retry: bool,
    /// Whether the request body is still arriving and is not buffered. Such a request can be sent only once, and
    /// its deadline moves on until the body has ended.
    pub streaming_body: bool,
    /// Attempts by gateways that handled the request before and have failed. These attempts may have run.
    pub prior_attempts: Vec<PriorAttempt>,
    /// Whether one of those gateways has already counted the request's units.
    pub already_counted: bool,
}

/// An attempt that another gateway sent and that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Time of the send, or somewhat earlier.
    pub sent_at: Micros,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// Request of the attempt.
    pub request: RequestId,
    /// Index of the attempt among the request's attempts, prior attempts included.
    pub attempt: usize,
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time that the attempt was in flight.
    pub elapsed: Micros,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Actual cost in quota units, if it was determined after the request ran.
    pub settled_units: Option<f64>,
    /// Load that the endpoint reported.
    pub load: LoadReport,
}

/// Outcome of an attempt or of a call to the counter service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum Outcome {
    /// Answered successfully.
    #[strum(serialize = "ok")]
    Success,
    /// Answered with an error; the request may have run.
    #[strum(serialize = "error")]
    ServerError,
    /// Rejected before it could run.
    #[strum(serialize = "full")]
    Rejected,
    /// No response in time; the request may have run.
    #[strum(serialize = "timeout")]
    Timeout,
    /// The connection could not be opened.
    #[strum(serialize = "connect_failed")]
    ConnectFailed,
    /// The connection broke; the request may have run.
    #[strum(serialize = "reset")]
    ConnectionReset,
    /// Cancelled by the gateway; the request may have run.
    #[strum(serialize = "cancelled")]
    Cancelled,
    /// Never sent.
    #[strum(serialize = "moot")]
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
