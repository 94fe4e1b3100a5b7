//! What the stand-ins saw of a run: the only thing that the judge goes by.

use crate::cluster_poll::Ledger;
use crate::plan::Microseconds;

/// How one try of a client ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// A whole answer: its status, and the mark in the body, if it has the form of a backend's body.
    #[allow(missing_docs)]
    Answer { status: u16, mark: Option<u64> },
    /// No answer in the client's time; it closed the connection.
    GaveUp,
    /// The connection was refused, or never came up.
    Unreachable,
    /// The connection ended after the request was written and before a whole answer.
    Broken,
    /// The run ended first.
    Open,
}

/// One try: a request as a gateway saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Try {
    /// Its number in the plan's arrivals.
    pub arrival: usize,
    /// 0 for the first try.
    pub nth: u32,
    /// The id on the wire.
    pub id: u64,
    /// The gateway that it went to.
    pub gateway: usize,
    /// The process of the gateway, counted from 0 over its restarts.
    pub life: usize,
    /// When its client wanted to send it.
    pub due: Microseconds,
    /// When its client stops waiting, as the request says.
    pub until: Microseconds,
    /// When its client began to send it.
    pub began: Microseconds,
    /// When the request's last byte was written.
    pub written: Option<Microseconds>,
    /// When it ended.
    pub ended: Microseconds,
    /// How.
    pub end: End,
    /// The gateway wrote more than one answer.
    pub twice: bool,
}

/// How an attempt ended at its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole 200 was given out.
    Served,
    /// A 500.
    Error,
    /// Turned away; it never ran.
    TurnedAway,
    /// An answer that broke off.
    Half,
    /// The gateway gave it up, or its connection broke.
    Abandoned,
    /// The backend died with it.
    Died,
    /// The run ended first.
    Open,
}

/// A request as it came to a backend.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The id on the wire; 0 where it is none that a client sent.
    pub id: u64,
    /// The backend.
    pub backend: usize,
    /// The gateway that sent it.
    pub gateway: usize,
    /// When its first byte was read.
    pub first: Microseconds,
    /// When its last byte had come.
    pub came: Microseconds,
    /// When it ended.
    pub ended: Microseconds,
    /// How.
    pub outcome: Outcome,
    /// It was begun.
    pub ran: bool,
    /// The mark in its answer's body.
    pub mark: u64,
    /// Work that it asked for, of a core of speed 1.
    pub work_us: f64,
}

/// Discovery told a gateway something.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// The gateway, and its process.
    pub gateway: usize,
    /// Counted from 0 over its restarts.
    pub life: usize,
    /// The backend.
    pub backend: usize,
    /// Whether it takes work, as told.
    pub ready: bool,
    /// When it was told, or counts as told.
    pub at: Microseconds,
}

/// A cold backend was sent more than it bears.
#[derive(Debug, Clone, PartialEq)]
pub struct Fall {
    /// The backend.
    pub backend: usize,
    /// When.
    pub at: Microseconds,
    /// The part of the load that came from gateways that knew of its start.
    pub knowing: f64,
}

/// A call to the counter.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Who called.
    pub gateway: usize,
    /// When it came.
    pub at: Microseconds,
    /// The status of its answer; 0: none.
    pub status: u16,
}

/// What clients were told of a write at the address that came with its 202.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    /// Nobody answered, or in words that nobody knows.
    Nothing,
    /// It waits, or is under way.
    Open,
    /// A backend answered with this status.
    Done(u16),
    /// Another, accepted at the same time, stands in its place.
    Superseded,
    /// It was given up before it ran.
    GivenUp,
    /// It may have run.
    Unknown,
    /// It is lost, or was never accepted.
    Lost,
}

/// A 202, and what became of the write by its address, asked after the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receipt {
    /// Its number in the plan's arrivals.
    pub arrival: usize,
    /// The address.
    pub place: String,
    /// What it told.
    pub told: Fate,
}

/// What became of a gateway's process.
#[derive(Debug, Clone, PartialEq)]
pub enum Life {
    /// It was started.
    Started,
    /// Its first `/_health` with 200.
    Ready,
    /// The lab killed it.
    Killed,
    /// The lab sent SIGTERM.
    Terminated,
    /// The lab stopped it.
    Paused,
    /// The lab let it go on.
    Continued,
    #[allow(missing_docs)]
    /// It ended; `asked`: after the lab's signal, and with success where that was SIGTERM.
    Ended { asked: bool, how: String },
}

/// An event in the life of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct LifeEvent {
    /// The gateway.
    pub gateway: usize,
    /// Counted from 0 over its restarts.
    pub life: usize,
    /// When.
    pub at: Microseconds,
    /// What.
    pub what: Life,
}

/// What a process used, sampled.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// The gateway.
    pub gateway: usize,
    /// Counted from 0 over its restarts.
    pub life: usize,
    /// When.
    pub at: Microseconds,
    /// Processor time of this process so far.
    pub cpu_us: u64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// What a gateway said of its fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterObservation {
    /// The gateway.
    pub gateway: usize,
    /// Counted from 0 over its restarts.
    pub life: usize,
    /// When it was asked.
    pub asked: Microseconds,
    /// When its answer was there.
    pub at: Microseconds,
    /// Gateways that take part, itself among them, in order.
    pub present: Vec<usize>,
    /// Gateways that it holds down.
    pub down: Vec<usize>,
    /// Its view's number and digest.
    pub view: Option<(u64, String)>,
    /// It says that all agree.
    pub agreed: bool,
    /// Its share is whole.
    pub whole: bool,
    /// How its claims at the ledger ended so far.
    pub ledger: Ledger,
}

/// What a gateway said of a rollout of rules.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutObservation {
    /// The gateway.
    pub gateway: usize,
    /// Counted from 0 over its restarts.
    pub life: usize,
    /// When it was asked.
    pub asked: Microseconds,
    /// When its answer was there.
    pub at: Microseconds,
    /// The rollout's number.
    pub number: u64,
    /// The stage that it goes by.
    pub stage: u8,
    /// `running`, `done`, `aborted` or `halted`.
    pub state: String,
    /// It leads.
    pub leads: bool,
}

/// Who was cut off from the clients, and when: nothing is owed there.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultWindow {
    /// The gateway.
    pub gateway: usize,
    /// From.
    pub from: Microseconds,
    /// To.
    pub to: Microseconds,
}

/// All of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Record {
    /// Tries of clients.
    pub tries: Vec<Try>,
    /// Writes that were accepted with 202.
    pub receipts: Vec<Receipt>,
    /// Attempts at backends.
    pub attempts: Vec<Attempt>,
    /// What discovery told.
    pub told: Vec<Told>,
    /// Cold backends pushed over.
    pub falls: Vec<Fall>,
    /// Calls to the counter.
    pub calls: Vec<Call>,
    /// Lives of the gateways' processes.
    pub lives: Vec<LifeEvent>,
    /// What they used.
    pub usage: Vec<Usage>,
    /// What they said of their fleet.
    pub fleets: Vec<ClusterObservation>,
    /// What they said of a rollout.
    pub rollouts: Vec<RolloutObservation>,
    /// Clients' ways that were cut or broken on purpose.
    pub excuses: Vec<FaultWindow>,
    /// Connections that gateways opened to backends: backend by gateway.
    pub connections: usize,
    /// Times that the lab itself lacked a port or a descriptor.
    pub starved: usize,
    /// Processor time of the lab itself over the run.
    pub lab_cpu_us: u64,
    /// When the last arrival's settling was over.
    pub ended: Microseconds,
}
