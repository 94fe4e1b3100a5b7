//! The inputs of the decision module.

use super::endpoint::{EndpointUpdate, LoadReport, WatchScope};
use super::ids::{ClassId, CounterKey, CustomerId, EndpointId, PlanId, RequestId, TimerId};
use super::quota_lease::QuotaLease;
use super::routing_rules::RoutingRules;
use super::time::Micros;
use strum::{IntoStaticStr, VariantArray};

/// What happened, as far as a gateway decides by it.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a part of it, has changed.
    EndpointsChanged {
        /// What `endpoints` holds.
        scope: WatchScope,
        /// The entries.
        endpoints: Vec<EndpointUpdate>,
    },
    /// A request came in.
    RequestArrived(Arrival),
    /// A timer came due.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
    /// A streamed response has started; the request is the client's now.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// The first bytes of a long response have come. The rest comes as fast as the client takes it.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: usize,
        /// How long after it was sent.
        elapsed: Micros,
    },
    /// The last byte of a streamed request body has come.
    RequestBodyEnded {
        /// The request.
        request: RequestId,
        /// Its deadline, which is known now.
        deadline: Micros,
    },
    /// The client has gone.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A call to the counter service ended.
    CounterReplied {
        /// The counter.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// The counter's total, where the call succeeded.
        total: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// An operator takes an endpoint out of service, whatever the list says of it, or puts it back.
    MaintenanceChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// Out of service, or back.
        in_maintenance: bool,
    },
    /// The other process of this gateway has ended.
    PeerProcessExited,
    /// The gateways agree on other quota leases.
    QuotaLeaseChanged(QuotaLease),
    /// Other routing rules are in force.
    RoutingChanged(RoutingRules),
}

/// A request that came in.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Through how many gateways this customer's requests come.
    pub spread: u32,
    /// The first of them; the others follow it in number, and after the last comes number 0.
    pub first_gateway: u32,
    /// The client gives up then.
    pub deadline: Micros,
    /// Its cost in quota units.
    pub units: f64,
    /// The client retries a request that was rejected, failed or abandoned, and says so.
    pub is_retry: bool,
    /// Its body is still coming and is not buffered: it can be sent once. Until the body has ended the deadline
    /// is an upper bound.
    pub streaming_body: bool,
    /// Attempts of gateways that had the request before and are gone; they may have run.
    pub prior_attempts: Vec<PriorAttempt>,
    /// One of those gateways had its units counted.
    pub already_counted: bool,
}

/// An attempt of another gateway's that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was sent, or somewhat before.
    pub sent_at: Micros,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: usize,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub elapsed: Micros,
    /// The request has had its final answer.
    pub request_finished: bool,
    /// The true cost in quota units, where it is settled afterwards.
    pub settled_units: Option<f64>,
    /// The load that the endpoint reported.
    pub load: LoadReport,
}

/// How an attempt or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, VariantArray)]
pub enum Outcome {
    /// Served.
    #[strum(serialize = "ok")]
    Success,
    /// Answered with an error; it may have run.
    #[strum(serialize = "error")]
    ServerError,
    /// Rejected before it ran.
    #[strum(serialize = "full")]
    Rejected,
    /// No response in time; it may have run.
    #[strum(serialize = "timeout")]
    Timeout,
    /// No connection was made.
    #[strum(serialize = "connect_failed")]
    ConnectFailed,
    /// The connection broke; it may have run.
    #[strum(serialize = "reset")]
    ConnectionReset,
    /// Cancelled; it may have run.
    #[strum(serialize = "cancelled")]
    Cancelled,
    /// Never sent.
    #[strum(serialize = "moot")]
    NotSent,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
