//! The client of the shared counter: calls over a few connections, each made at most once.

mod reply_order;
mod wire;

pub use reply_order::{CallNumber, ReplyOrder};

use crate::decision::{CounterKey, Micros, Outcome};
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::upstream::connection::{CallError, Connection};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};
use tracing::warn;

/// An idle connection is closed after this; the counter closes it after 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The longest head of a response.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The connections are shared out between two processes of a gateway in parts of this size.
const QUARTERS: usize = 4;

/// What one call adds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Increment {
    /// The counter.
    pub key: CounterKey,
    /// What is added to it; negative to give back.
    pub amount: f64,
    /// The counter is forgotten after this time.
    pub lifetime: Micros,
}

/// How one call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterReply {
    /// The outcome.
    pub outcome: Outcome,
    /// The total after this call, where it succeeded; else 0.
    pub total: f64,
}

impl From<Outcome> for CounterReply {
    fn from(outcome: Outcome) -> CounterReply {
        CounterReply { outcome, total: 0.0 }
    }
}

/// The client of the counter.
pub struct CounterClient {
    address: SocketAddr,
    timeout: Duration,
    max_connections: usize,
    idle: RefCell<Vec<Connection>>,
    permits: Permits,
    protocol_error_log: LogRateLimiter,
}

impl CounterClient {
    /// Calls go over at most so many connections and are given up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, max_connections: usize) -> CounterClient {
        CounterClient {
            address,
            timeout,
            max_connections,
            idle: RefCell::default(),
            permits: Permits::new(max_connections),
            protocol_error_log: LogRateLimiter::default(),
        }
    }

    /// The same client for a counter at another address, over new connections.
    pub fn with_address(&self, address: SocketAddr) -> CounterClient {
        CounterClient::new(address, self.timeout, self.max_connections)
    }

    /// Leaves so many quarters of the connections to the other process of this gateway.
    pub fn reserve_for_other_process(&self, quarters: usize) {
        self.permits.reserve_for_other_process(self.max_connections * quarters / QUARTERS);
        self.idle.borrow_mut().truncate(self.permits.available());
    }

    /// Makes one call. One that is not answered in time closes its connection, so that a late response is not taken
    /// for a later call's.
    pub async fn increment(&self, increment: Increment) -> CounterReply {
        let was_written = Cell::new(false);
        match timeout(self.timeout, self.exchange(increment, &was_written)).await {
            Ok(reply) => reply,
            Err(_) if was_written.get() => Outcome::Timeout.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }

    /// Makes the call over an idle connection or a new one. A call that an idle connection did not take is made
    /// again.
    async fn exchange(&self, increment: Increment, was_written: &Cell<bool>) -> CounterReply {
        let _permit = self.permits.acquire().await;
        loop {
            let (mut connection, reused) = match self.take_idle() {
                Some(connection) => (connection, true),
                None => match Connection::open(self.address, READ_BUFFER_BYTES).await {
                    Ok(connection) => (connection, false),
                    Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            was_written.set(true);
            match connection.call(wire::request(self.address, increment)).await {
                Ok(response) => match wire::reply(&response) {
                    Ok(reply) => {
                        self.give_back(connection);
                        return reply;
                    }
                    Err(problem) => {
                        if self.protocol_error_log.allows(Instant::now()) {
                            warn!(status = %response.status(), %problem, "call to the counter failed");
                        }
                        // Guards against taking what is left of a broken response for the next call's: the connection
                        // is closed.
                        return Outcome::ServerError.into();
                    }
                },
                Err(CallError::NotSent) if reused => was_written.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::Broken | CallError::RequestBodyAborted) => {
                    return Outcome::ConnectionReset.into()
                }
            }
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.idle_since.elapsed() < IDLE_TIMEOUT && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, mut connection: Connection) {
        if connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }
}
