//! Record of a run as the stand-ins saw it; the only input of the checker besides the plan.

use crate::cluster_poll::LedgerCounts;
use crate::plan::Microseconds;

/// How one attempt of a client ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// A complete answer, with its status and the mark in its body; no mark if no backend makes such a body.
    #[allow(missing_docs)]
    Answer { status: u16, mark: Option<u64> },
    /// The client got no answer before its time-out and closed the connection.
    GaveUp,
    /// The connection could not be opened in time, or the request could not be written.
    Unreachable,
    /// The connection ended after the request was written and before a complete answer.
    Broken,
    /// The run ended first.
    Open,
}

/// One attempt of a client: a request sent to a gateway, or its retry.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// Index of the request in the plan's arrivals.
    pub arrival: usize,
    /// Number of the attempt; 0 for the first.
    pub nth: u32,
    /// Request id on the wire.
    pub id: u64,
    /// Gateway that the attempt was sent to.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Time at which the attempt was due.
    pub due: Microseconds,
    /// Time at which the client stops waiting, as announced in the request.
    pub until: Microseconds,
    /// Time at which the client began the attempt.
    pub began: Microseconds,
    /// Time at which the request was written completely; `None` if it never was.
    pub written: Option<Microseconds>,
    /// Time at which the attempt ended.
    pub ended: Microseconds,
    /// How the attempt ended.
    pub end: End,
    /// Whether the gateway wrote more than one answer.
    pub twice: bool,
}

/// How an attempt ended at its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer 200 was handed to the connection.
    Served,
    /// Answered 500.
    Error,
    /// Rejected with 503 before it ran.
    TurnedAway,
    /// The answer was cut off by an injected fault.
    Half,
    /// The gateway cancelled the attempt, or the connection broke.
    Abandoned,
    /// The backend's process ended while it had the request.
    Died,
    /// The run ended first.
    Open,
}

/// One attempt at a backend: a request that a gateway forwarded.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Request id on the wire; 0 if no client sent this id.
    pub id: u64,
    /// Backend that received the request.
    pub backend: usize,
    /// Gateway that sent the request.
    pub gateway: usize,
    /// Time at which the first byte was read.
    pub first: Microseconds,
    /// Time at which the request was received completely.
    pub came: Microseconds,
    /// Time at which the attempt ended.
    pub ended: Microseconds,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the backend ran the request; false if it was rejected, cancelled while queued or dropped as a repeat.
    pub ran: bool,
    /// Mark in the body of the answer; 0 if none was sent.
    pub mark: u64,
    /// Work of the request, as microseconds of one core at speed 1.
    pub work_us: f64,
}

/// Notice on a backend that discovery sent to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// Gateway that was notified.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Backend that the notice is about.
    pub backend: usize,
    /// Whether the backend accepts requests, according to the notice.
    pub ready: bool,
    /// Time at which the gateway received the notice, or counts as having received it.
    pub at: Microseconds,
}

/// Overload of a backend that was warming up, on which its process ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Fall {
    /// Backend that was overloaded.
    pub backend: usize,
    /// Time of the overload.
    pub at: Microseconds,
    /// Fraction of the load that came from gateways that knew of the backend's start.
    pub knowing: f64,
}

/// Call to the shared counter.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Gateway that called.
    pub gateway: usize,
    /// Time at which the call was received.
    pub at: Microseconds,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// Status of an accepted write, as a client reads it at the address that the 202 answer gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// No gateway answered, or the status text was unknown.
    Nothing,
    /// The write is queued or in flight.
    Open,
    /// A backend answered with this status.
    Done(u16),
    /// Another write that was accepted at the same time replaced this one.
    Superseded,
    /// The write was given up before it ran.
    GivenUp,
    /// The write may have run.
    Unknown,
    /// The write is lost, or was never accepted.
    Lost,
}

/// An answer 202 and the status of its write, polled after the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receipt {
    /// Index of the request in the plan's arrivals.
    pub arrival: usize,
    /// Path at which the status can be polled.
    pub place: String,
    /// Status that was read there.
    pub told: Fate,
}

/// Change in the life cycle of a gateway's process.
#[derive(Debug, Clone, PartialEq)]
pub enum Life {
    /// The process was started.
    Started,
    /// `/_health` answered 200 for the first time.
    Ready,
    /// The lab sent SIGKILL.
    Killed,
    /// The lab sent SIGTERM.
    Terminated,
    /// The lab sent SIGSTOP.
    Paused,
    /// The lab sent SIGCONT.
    Continued,
    #[allow(missing_docs)]
    /// The process ended. `asked` is true if the lab had sent a signal and, after SIGTERM, the exit was successful.
    Ended { asked: bool, how: String },
}

/// Event in the life cycle of a gateway's process.
#[derive(Debug, Clone, PartialEq)]
pub struct LifeEvent {
    /// Number of the gateway.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Time of the event.
    pub at: Microseconds,
    /// Change that took place.
    pub what: Life,
}

/// Sample of a gateway process's use of resources.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// Number of the gateway.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Time of the sample.
    pub at: Microseconds,
    /// Processor time of the process so far, in microseconds.
    pub cpu_us: u64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// Answer of a gateway to one poll of its cluster state.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterObservation {
    /// Number of the gateway.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Time at which the gateway was polled.
    pub asked_at: Microseconds,
    /// Time at which the answer was received.
    pub answered_at: Microseconds,
    /// Gateways that the view holds alive or suspected, and the polled gateway itself, in ascending order.
    pub present: Vec<usize>,
    /// Gateways that the view holds down.
    pub down: Vec<usize>,
    /// Number and digest of the view.
    pub view: Option<(u64, String)>,
    /// Whether the gateway reported agreement of all on the view.
    pub agreed: bool,
    /// Whether the gateway's quota share was valid.
    pub has_quota_share: bool,
    /// Outcomes of the gateway's claims at the ledger so far.
    pub ledger: LedgerCounts,
}

/// Answer of a gateway to one poll of a rollout of rules.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutObservation {
    /// Number of the gateway.
    pub gateway: usize,
    /// Number of the gateway's process, counted from 0 over its restarts.
    pub life: usize,
    /// Time at which the gateway was polled.
    pub asked_at: Microseconds,
    /// Time at which the answer was received.
    pub answered_at: Microseconds,
    /// Number of the rollout.
    pub number: u64,
    /// Stage that the gateway applied.
    pub stage: u8,
    /// State of the rollout: `running`, `done`, `aborted` or `halted`.
    pub state: String,
    /// Whether the gateway leads the rollout.
    pub leads: bool,
}

/// Time in which clients could not reach a gateway because of a fault, so that it need not answer them.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultWindow {
    /// Number of the gateway.
    pub gateway: usize,
    /// Start of the fault.
    pub from: Microseconds,
    /// End of the fault, with time for delayed data to arrive.
    pub to: Microseconds,
}

/// Everything that was recorded in a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Attempts of clients.
    pub tries: Vec<Try>,
    /// Writes that were accepted with 202.
    pub receipts: Vec<Receipt>,
    /// Attempts at backends.
    pub attempts: Vec<Attempt>,
    /// Notices of discovery to gateways.
    pub told: Vec<Told>,
    /// Overloads of backends that were warming up.
    pub falls: Vec<Fall>,
    /// Calls to the shared counter.
    pub calls: Vec<Call>,
    /// Life cycle events of the gateways' processes.
    pub lives: Vec<LifeEvent>,
    /// Samples of the gateway processes' use of resources.
    pub usage: Vec<Usage>,
    /// Polls of the gateways' cluster state.
    pub cluster_observations: Vec<ClusterObservation>,
    /// Polls of the gateways' rollout state.
    pub rollouts: Vec<RolloutObservation>,
    /// Faults on the links between clients and gateways.
    pub excuses: Vec<FaultWindow>,
    /// Number of connections that gateways opened to backends.
    pub connections: usize,
    /// Number of times that the lab itself lacked a port, a descriptor or memory.
    pub starved: usize,
    /// Processor time of the lab itself over the run, in microseconds.
    pub lab_cpu_us: u64,
    /// Time at which the record was closed, after the last requests had ended and the accepted writes were polled.
    pub ended: Microseconds,
}
