//! What gateways are told and do, in the words of the recorded files. They never change.

/// What an endpoint list event holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    Incremental,
    Complete,
    Failed,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    InService,
    Draining,
    Removed,
}

/// One line of an endpoint list.
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

/// How an attempt or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    Success,
    ServerError,
    Rejected,
    Timeout,
    ConnectFailed,
    ConnectionReset,
    Cancelled,
    NotSent,
}

/// The figures of a load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadLine {
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
}

/// A request that comes in.
#[derive(Clone, Debug)]
pub struct ArrivalLine {
    pub request: u64,
    pub class: usize,
    pub plan: usize,
    pub customer: u64,
    pub spread: u32,
    pub first: u32,
    pub deadline: u64,
    pub units: f64,
    pub resent: bool,
    pub upload: bool,
    /// Endpoint and time of attempts that other gateways made.
    pub prior: Vec<(u64, u64)>,
    pub counted: bool,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Stimulus {
    Start,
    Stop,
    HandOver { to: u32 },
    Endpoints { scope: Scope, endpoints: Vec<EndpointLine> },
    Arrival(ArrivalLine),
    Timer { timer: u64 },
    StreamStarted { request: u64 },
    ResponseStarted { request: u64, attempt: usize, elapsed: u64 },
    RequestBodyEnded { request: u64, deadline: u64 },
    ClientDisconnected { request: u64 },
    Pong { endpoint: u64, how: How, load: LoadLine },
    CounterReplied { key: u64, how: How, total: f64 },
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
    pub how: How,
    pub elapsed: u64,
    pub final_answer: bool,
    pub settled: f64,
    pub load: LoadLine,
}

/// What a gateway does.
#[derive(Clone, Debug)]
pub enum Response {
    Send { request: u64, endpoint: u64, give_up_at: u64 },
    Reject { request: u64, retry_after: Option<u64> },
    Fail { request: u64 },
    Cancel { request: u64, attempt: usize },
    Count { key: u64, amount: f64 },
    SetTimer { timer: u64, after: u64 },
    Subscribe,
}
