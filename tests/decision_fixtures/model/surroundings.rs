//! What surrounds the gateways: the counter service, the endpoints, the requests, and what changes.

use super::terms::{ArrivalLine, EndpointLine, Status, Stimulus};

/// How the counter service works at present.
#[derive(Clone, Copy, Debug)]
pub(super) enum CounterState {
    Healthy,
    Slow,
    Mixed,
    Full,
    Unreachable,
    Errors,
}

/// How an endpoint works at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    Refuses,
    Silent,
    Errors,
    Slow,
    Full,
    Resets,
}

/// What changes around the gateways.
#[derive(Clone, Debug)]
pub(super) enum Change {
    NextArrival,
    Random,
    Counter(CounterState),
    ForgetCounts,
    EndpointFault { endpoint: usize, fault: Fault },
    EndpointStatus { endpoint: usize, status: Status },
    EndpointRestart { endpoint: usize },
    CompleteList { gateway: u32 },
    ListFailed { gateway: u32 },
    Restart { gateway: u32 },
}

pub(super) enum Item {
    Change(Change),
    Tell { gateway: u32, incarnation: u32, stimulus: Stimulus },
}

pub(super) struct Endpoint {
    pub(super) line: EndpointLine,
    pub(super) fault: Fault,
    pub(super) in_flight: f64,
}

pub(super) struct Attempt {
    pub(super) endpoint: u64,
    pub(super) sent: u64,
    /// Place in the queue of its end.
    pub(super) ends: Option<(u64, u64)>,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) arrival: Option<ArrivalLine>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) closed: bool,
    pub(super) body_ends: u64,
}
