//! Inputs and actions of gateways, independent of the decision module's own types.
//!
//! The recorded traces contain the debug output of `GatewayInput`, `LoadLine`, `CallOutcome` and `ListScope`, so the
//! names of their variants and fields must not change.

/// Scope of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListScope {
    Incremental,
    Complete,
    Failed,
}

/// Status of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    InService,
    Draining,
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointLine {
    pub endpoint: u64,
    pub zone: u32,
    pub cell: u64,
    pub status: Status,
    pub weight: f64,
    pub started: u64,
    pub label: u32,
}

/// Outcome of an attempt or of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Success,
    ServerError,
    Rejected,
    Timeout,
    ConnectFailed,
    ConnectionReset,
    Cancelled,
    NotSent,
}

/// Figures of a load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadLine {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
}

/// A request that arrives.
#[derive(Clone, Debug)]
pub struct ArrivalLine {
    pub request: u64,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    pub gateway_count: u32,
    pub first_gateway: u32,
    pub deadline: u64,
    pub units: f64,
    pub is_retry: bool,
    pub upload: bool,
    /// Endpoints and send times of the attempts that other gateways made.
    pub prior_attempts: Vec<(u64, u64)>,
    pub already_counted: bool,
}

/// An input of a gateway.
#[derive(Clone, Debug)]
pub enum GatewayInput {
    Start,
    Stop,
    HandOver { to: u32 },
    Endpoints { scope: ListScope, endpoints: Vec<EndpointLine> },
    Arrival(ArrivalLine),
    Timer { timer: u64 },
    StreamStarted { request: u64 },
    ResponseStarted { request: u64, attempt: usize, elapsed: u64 },
    RequestBodyEnded { request: u64, deadline: u64 },
    ClientDisconnected { request: u64 },
    Pong { endpoint: u64, how: CallOutcome, load: LoadLine },
    CounterReplied { key: u64, how: CallOutcome, total: f64 },
    AttemptEnded(AttemptLine),
    Maintenance { endpoint: u64, active: bool },
    PeerProcessExited,
    QuotaLease { fraction: f64, until: u64, absent: Vec<u32> },
    Routing { variant: usize, share: u16 },
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptLine {
    pub request: u64,
    pub attempt: usize,
    pub endpoint: u64,
    pub how: CallOutcome,
    pub elapsed: u64,
    pub final_answer: bool,
    pub settled: f64,
    pub load: LoadLine,
}

/// An action of a gateway.
#[derive(Clone, Debug)]
pub enum GatewayAction {
    Send { request: u64, endpoint: u64, give_up_at: u64 },
    Reject { request: u64, retry_after: Option<u64> },
    Fail { request: u64 },
    Cancel { request: u64, attempt: usize },
    Count { key: u64, amount: f64 },
    SetTimer { timer: u64, after: u64 },
    Subscribe,
}
