//! State of the environment: the counter service, the endpoints and the requests, and changes of it.

use super::messages::{ArrivalLine, EndpointLine, GatewayInput, Status};

/// Behaviour of the counter service.
#[derive(Clone, Copy, Debug)]
pub(super) enum CounterState {
    Healthy,
    Slow,
    Mixed,
    Rejecting,
    Unreachable,
    Errors,
}

/// Behaviour of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    RefusesConnections,
    Unresponsive,
    ReturnsErrors,
    Slow,
    Overloaded,
    ResetsConnections,
}

/// A change in the environment of the gateways.
#[derive(Clone, Debug)]
pub(super) enum Change {
    NextArrival,
    Random,
    Counter(CounterState),
    ResetCounts,
    EndpointFault { endpoint: usize, fault: Fault },
    EndpointStatus { endpoint: usize, status: Status },
    EndpointRestart { endpoint: usize },
    CompleteList { gateway: u32 },
    ListFailed { gateway: u32 },
    Restart { gateway: u32 },
}

pub(super) enum QueuedEvent {
    Change(Change),
    Deliver { gateway: u32, incarnation: u32, input: GatewayInput },
}

pub(super) struct Endpoint {
    pub(super) line: EndpointLine,
    pub(super) fault: Fault,
    pub(super) in_flight: f64,
}

pub(super) struct Attempt {
    pub(super) endpoint: u64,
    pub(super) sent: u64,
    /// Key of the attempt's end in the event queue.
    pub(super) ends: Option<(u64, u64)>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) arrival: Option<ArrivalLine>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) closed: bool,
    pub(super) body_ends: u64,
}
