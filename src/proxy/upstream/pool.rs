//! Pool of the connections to all backends: those in use, each of which holds a permit, and idle ones.

use super::connection::Connection;
use crate::decision::{Micros, ReuseRecord};
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::memory_budget::MemoryBudget;
use crate::proxy::runtime::clock::duration;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, Instant};
use tracing::warn;

/// Lower bound of the idle limit: however early idle connections break, one that was idle for a shorter time is reused.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(100);

/// Number of backends with records above which all are forgotten: twice the largest fleet.
const MAX_REUSE_RECORDS: usize = 6_400;
const MICROS_PER_MILLI: u64 = 1_000;

/// Pool of the connections to all backends.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    /// What the connections of each backend have shown since one of them had a fault; empty until then.
    reuse: RefCell<HashMap<SocketAddr, ReuseRecord>>,
    permits: Permits,
    pub(super) connect_timeout: Duration,
    /// How long a connection may be idle and still be reused: `max_idle`, or less after connections broke earlier.
    idle_limit: Cell<Duration>,
    max_idle: Duration,
    pub(super) metrics: Rc<Metrics>,
    pub(super) memory: Rc<MemoryBudget>,
    pub(super) malformed_report_log: LogRateLimiter,
    unexpected_response_log: LogRateLimiter,
}

impl ConnectionPool {
    /// Returns a pool of at most `max_connections` connections, including those in use. Backends close connections that
    /// are idle for `backend_idle_timeout`.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        backend_idle_timeout: Duration,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
    ) -> ConnectionPool {
        // Half the time-out, which guards against writing to a connection that its backend is about to close.
        let max_idle = backend_idle_timeout / 2;
        ConnectionPool {
            idle: RefCell::default(),
            reuse: RefCell::default(),
            permits: Permits::new(max_connections),
            connect_timeout,
            idle_limit: Cell::new(max_idle),
            max_idle,
            metrics,
            memory,
            malformed_report_log: LogRateLimiter::default(),
            unexpected_response_log: LogRateLimiter::default(),
        }
    }

    /// Returns a permit for a connection in use and closes idle connections beyond the limit, or returns `None` if as
    /// many connections are in use as are allowed.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.try_acquire()?;
        self.evict_beyond_permits();
        Some(permit)
    }

    /// Takes an idle connection that has rested, the most recently used first, so that connections that are not needed
    /// age and are closed.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&address)?;
        let rest = duration(self.reuse_record(address).rest());
        while let Some(position) = stack.iter().rposition(|c| c.idle_since.elapsed() >= rest) {
            let mut connection = stack.remove(position);
            if connection.has_unexpected_bytes() {
                self.record_fault(address);
            } else if connection.idle_since.elapsed() < self.idle_limit.get() && connection.is_usable() {
                self.record_sound(address);
                return Some(connection);
            }
        }
        None
    }

    /// Records that a connection was used again, if the connections of its backend have to rest.
    fn record_sound(&self, address: SocketAddr) {
        let mut record = self.reuse_record(address);
        if record.rest() > Micros(0) {
            record.record_sound();
            self.reuse.borrow_mut().insert(address, record);
        }
    }

    /// Returns what the connections of a backend have shown.
    fn reuse_record(&self, address: SocketAddr) -> ReuseRecord {
        let records = self.reuse.borrow();
        match records.get(&address) {
            Some(record) => *record,
            None if records.is_empty() => ReuseRecord::default(),
            None => ReuseRecord::suspected(),
        }
    }

    /// Takes an idle connection, waiting for the end of its rest if need be, where no new one can be opened.
    pub(super) async fn take_resting(&self, address: SocketAddr) -> Option<Connection> {
        let rest = duration(self.reuse_record(address).rest());
        let rested_at = self.idle.borrow().get(&address)?.iter().map(|c| c.idle_since + rest).min()?;
        sleep_until(rested_at).await;
        self.take_idle(address)
    }

    /// Records bytes that a backend sent without a request.
    fn record_fault(&self, address: SocketAddr) {
        let mut record = self.reuse_record(address);
        record.record_fault();
        self.reuse.borrow_mut().insert(address, record);
        self.metrics.unexpected_responses.increment();
        if self.unexpected_response_log.try_log(Instant::now()) {
            let rest_ms = record.rest().0 / MICROS_PER_MILLI;
            warn!(%address, rest_ms, "a backend sent bytes that no request asked for; its connections rest before reuse");
        }
    }

    /// Returns a connection to the pool, if it can carry another call.
    pub fn release(&self, address: SocketAddr, mut connection: Connection) {
        if connection.has_unexpected_bytes() {
            self.record_fault(address);
        } else if connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(address).or_default().push(connection);
        }
    }

    /// Called when a connection broke on reuse after being idle for `idle_time`. Guards against backends that drop idle
    /// connections without notice and long before their time-out: from now on no connection is reused after half that
    /// time.
    pub(super) fn record_break_after_idle(&self, idle_time: Duration) {
        if idle_time >= MIN_IDLE_LIMIT {
            self.idle_limit.set(self.idle_limit.get().min((idle_time / 2).max(MIN_IDLE_LIMIT)));
        }
    }

    /// Closes idle connections that have reached the idle limit or were closed by the backend. Raises a lowered idle
    /// limit by a twentieth.
    pub fn close_expired(&self) {
        self.idle_limit.set((self.idle_limit.get() * 21 / 20).min(self.max_idle));
        self.idle.borrow_mut().retain(|address, stack| {
            stack.retain_mut(|connection| {
                let has_fault = connection.has_unexpected_bytes();
                if has_fault {
                    self.record_fault(*address);
                }
                !has_fault
                    && connection.idle_since.elapsed() < self.idle_limit.get()
                    && connection.is_usable()
            });
            !stack.is_empty()
        });
        let mut records = self.reuse.borrow_mut();
        if records.len() > MAX_REUSE_RECORDS {
            records.clear();
        }
    }

    /// Closes the idle connections to an address that no backend uses any more, or whose backend restarted or is
    /// draining.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Reserves this many quarters of the connections for the other process of this gateway.
    pub fn reserve_for_other_process(&self, quarters: usize) {
        self.permits.reserve_for_other_process(self.permits.total() * quarters / 4);
        self.evict_beyond_permits();
    }

    fn evict_beyond_permits(&self) {
        while self.idle_count() > self.permits.available() {
            self.evict();
        }
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the oldest idle connection of the backend that has the most idle connections.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(stack) = idle.values_mut().filter(|s| !s.is_empty()).max_by_key(|s| s.len()) {
            stack.remove(0);
        }
    }
}
