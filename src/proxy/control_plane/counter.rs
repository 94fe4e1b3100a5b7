//! Client of the shared counter. Calls share a few connections, and each is made at most once.

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

/// Idle time-out of a connection, shorter than that of the counter, which is at most 10 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on the head of a response, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Connections are divided between two processes of a gateway in quarters.
const QUARTERS: usize = 4;

/// Increment of the counter by one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Increment {
    /// Key of the counter.
    pub key: CounterKey,
    /// Amount added to the counter; negative to return an earlier amount.
    pub amount: f64,
    /// Time after which the counter is discarded.
    pub lifetime: Micros,
}

/// Result of one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterReply {
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Total after this call if it succeeded, otherwise 0.
    pub total: f64,
}

impl From<Outcome> for CounterReply {
    fn from(outcome: Outcome) -> CounterReply {
        CounterReply { outcome, total: 0.0 }
    }
}

/// Client of the counter.
pub struct CounterClient {
    address: SocketAddr,
    timeout: Duration,
    max_connections: usize,
    idle: RefCell<Vec<Connection>>,
    permits: Permits,
    protocol_error_log: LogRateLimiter,
}

impl CounterClient {
    /// Creates a client that uses at most `max_connections` connections and gives up calls after `timeout`.
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

    /// Returns a client with the same limits for another address, with its own connections.
    pub fn with_address(&self, address: SocketAddr) -> CounterClient {
        CounterClient::new(address, self.timeout, self.max_connections)
    }

    /// Reserves the given quarters of the connections for the other process of this gateway.
    pub fn reserve_for_other_process(&self, quarters: usize) {
        self.permits.reserve_for_other_process(self.max_connections * quarters / QUARTERS);
        self.idle.borrow_mut().truncate(self.permits.available());
    }

    /// Makes one call. A call that times out closes its connection, so that a late response is not taken for that of
    /// a later call.
    pub async fn increment(&self, increment: Increment) -> CounterReply {
        let was_written = Cell::new(false);
        match timeout(self.timeout, self.exchange(increment, &was_written)).await {
            Ok(reply) => reply,
            Err(_) if was_written.get() => Outcome::Timeout.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }

    /// Makes the call over an idle connection or a new one. If an idle connection fails before the call is sent, the
    /// call is made again.
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
                        self.return_idle(connection);
                        return reply;
                    }
                    Err(problem) => {
                        if self.protocol_error_log.try_log(Instant::now()) {
                            warn!(status = %response.status(), %problem, "call to the counter failed");
                        }
                        // The connection is closed, because the rest of a malformed response could be taken for the
                        // response to the next call.
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

    fn return_idle(&self, mut connection: Connection) {
        if connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
    }
}
