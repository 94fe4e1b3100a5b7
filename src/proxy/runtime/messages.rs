//! What the driver is told and asked, and the gateway's clock.

use crate::proxy::runtime::*;

/// The way to the driver.
pub type RuntimeSender = mpsc::Sender<RuntimeEvent>;

/// The way of operators to the driver, which waits behind no request.
pub type AdminSender = mpsc::Sender<AdminCommand>;

/// What operators ask of the driver.
pub enum AdminCommand {
    /// How many backends there are.
    CountEndpoints(oneshot::Sender<EndpointCounts>),
    /// Take a backend out, or put it back.
    SetMaintenance {
        /// Its name at discovery.
        endpoint: String,
        /// Out, or back.
        in_maintenance: bool,
        /// The other process of this gateway has heard already.
        relayed: bool,
        /// Told whether there is such a backend, once it is done.
        reply: oneshot::Sender<bool>,
    },
    /// Another process takes this gateway over; these words go to it.
    HandOver {
        /// The way to it.
        messages: mpsc::Sender<Word>,
        /// Told what it must know.
        reply: oneshot::Sender<Box<Will>>,
    },
    /// This process takes the gateway over from another.
    TakeOver {
        /// What that one left.
        snapshot: Box<Will>,
        /// The way to it.
        messages: mpsc::Sender<Word>,
        /// Told when the module has heard.
        reply: oneshot::Sender<()>,
    },
    /// The other process is gone.
    PeerProcessExited(oneshot::Sender<()>),
}

/// The final answer to a client.
pub enum FinalResponse {
    /// A backend's 200, whole or as it comes.
    Served(ResponseBody),
    /// Refused: trying again is harmless, best after this time.
    Rejected {
        /// Best after this time.
        retry_after: Option<Micros>,
    },
    /// Failed, with no promise.
    Failed,
}

/// A request that a client has sent whole.
pub struct NewRequest {
    /// What the module is told of it. Its id is new, whatever the client called it.
    pub arrival: Arrival,
    /// What goes on to backends.
    pub forward: ForwardedRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Names one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its place among the attempts of the request.
    pub number: usize,
    /// The backend that it goes to.
    pub endpoint: EndpointId,
}

/// What the driver hears.
pub enum RuntimeEvent {
    /// A request.
    RequestReceived(Box<NewRequest>),
    /// The last byte of a request's body has come; its deadline.
    RequestBodyEnded {
        /// The request.
        request: RequestId,
        /// Its deadline, which counts from that byte.
        deadline: Micros,
    },
    /// The client of a request closed its connection.
    ClientDisconnected(RequestId),
    /// News of the backends.
    EndpointsChanged(EndpointList),
    /// Calls to the counter go to this address from now on.
    CounterAddressChanged(SocketAddr),
    /// What the gateways know together of each other's shares.
    QuotaLeaseChanged(QuotaLease),
    /// Other rules of routing are in force.
    RoutingChanged(Box<RoutingInForce>),
    /// A call to the counter ended.
    CounterReplied {
        /// The counter that was called.
        name: CounterKey,
        /// Which of the calls.
        call: u64,
        /// How it ended.
        reply: Counted,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
        /// For how long it was in flight.
        elapsed: Micros,
    },
    /// A long response that had begun ended.
    ResponseBodyEnded {
        /// The attempt that it answers.
        attempt: AttemptId,
        /// All of it came.
        complete: bool,
    },
}

/// Tells the driver from where nothing can wait.
pub fn send_event(inbox: &RuntimeSender, input: RuntimeEvent) {
    if let Err(mpsc::error::TrySendError::Full(input)) = inbox.try_send(input) {
        let inbox = inbox.clone();
        tokio::task::spawn_local(async move { inbox.send(input).await });
    }
}

/// The clock of the module: Unix time, which all gateways share, but never going back.
#[derive(Clone, Copy)]
pub struct Clock {
    pub(super) base: Micros,
    pub(super) start: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on the monotonic one counts.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: Micros(unix.as_micros() as u64), start: Instant::now() }
    }
    /// Now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
    /// The time on this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + Micros(instant.saturating_duration_since(self.start).as_micros() as u64)
    }
    /// How long ago a moment of the wall clock was. That clock may have stepped since this process read it, and all machines
    /// read one: by the clock of before and by that of now, the shorter of the two, as who started just now is cold.
    pub fn age_of(&self, unix: Micros) -> Micros {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (self.now() - unix).min(Micros(wall.as_micros() as u64) - unix)
    }
    pub(super) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).0)
    }
}
