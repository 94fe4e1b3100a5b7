//! What the driver is told and asked, and the gateway's clock.

use crate::proxy::runtime::*;

/// The way to the driver.
pub type Inbox = mpsc::Sender<Input>;

/// The way of operators to the driver, which waits behind no request.
pub type Orders = mpsc::Sender<Control>;

/// What operators ask of the driver.
pub enum Control {
    /// How many backends there are.
    Fleet(oneshot::Sender<Fleet>),
    /// Take a backend out, or put it back.
    Maintain {
        /// Its name at discovery.
        id: String,
        /// Out, or back.
        out: bool,
        /// The other process of this gateway has heard already.
        relayed: bool,
        /// Told whether there is such a backend, once it is done.
        done: oneshot::Sender<bool>,
    },
    /// Another process takes this gateway over; these words go to it.
    HandOver {
        /// The way to it.
        words: mpsc::Sender<Word>,
        /// Told what it must know.
        done: oneshot::Sender<Box<Will>>,
    },
    /// This process takes the gateway over from another.
    TakeOver {
        /// What that one left.
        will: Box<Will>,
        /// The way to it.
        words: mpsc::Sender<Word>,
        /// Told when the module has heard.
        done: oneshot::Sender<()>,
    },
    /// The other process is gone.
    Alone(oneshot::Sender<()>),
}

/// The final answer to a client.
pub enum Answer {
    /// A backend's 200, whole or as it comes.
    Served(Giving),
    /// Refused: trying again is harmless, best after this time.
    Refused(Option<Micros>),
    /// Failed, with no promise.
    Failed,
}

/// A request that a client has sent whole.
pub struct Taken {
    /// What the module is told of it. Its id is new, whatever the client called it.
    pub arrival: Arrival,
    /// What goes on to backends.
    pub forward: Forward,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// What the driver hears.
pub enum Input {
    /// A request.
    Taken(Box<Taken>),
    /// The last byte of a request's body has come; its deadline.
    Uploaded(RequestId, Micros),
    /// The client of a request closed its connection.
    Gone(RequestId),
    /// News of the backends.
    Members(MemberList),
    /// Calls to the counter go to this address from now on.
    Counter(SocketAddr),
    /// What the gateways know together of each other's shares.
    Lent(QuotaLease),
    /// Other rules of routing are in force.
    Routing(Box<RoutingInForce>),
    /// A call to the counter ended.
    Counted(CounterKey, u64, Counted),
    /// An attempt ended: its request, number and backend, how, and how long it was out.
    Ended(RequestId, usize, EndpointId, Ended, Micros),
    /// A long answer that had begun ended: its request, attempt and backend, and whether it was whole.
    Passed(RequestId, usize, EndpointId, bool),
}

/// Tells the driver from where nothing can wait.
pub fn tell(inbox: &Inbox, input: Input) {
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
