//! The connections to all backends: those in use, which hold a permit each, and those that are idle.

use super::connection::Connection;
use crate::proxy::admin::metrics::Metrics;
use crate::proxy::lifecycle::permits::Permits;
use crate::proxy::log_rate_limit::LogRateLimiter;
use crate::proxy::memory_budget::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// However early idle connections break, one that was idle for no longer than this is used again.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(100);

/// The connections to all backends.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    permits: Permits,
    pub(super) connect_timeout: Duration,
    /// How long a connection may be idle and be used again: `max_idle`, less where connections broke earlier.
    idle_limit: Cell<Duration>,
    max_idle: Duration,
    pub(super) metrics: Rc<Metrics>,
    pub(super) memory: Rc<MemoryBudget>,
    pub(super) malformed_report_log: LogRateLimiter,
}

impl ConnectionPool {
    /// A pool of at most so many connections, those in use included. Backends close connections that are idle for
    /// `backend_idle_timeout`.
    pub fn new(
        connections: usize,
        connect_timeout: Duration,
        backend_idle_timeout: Duration,
        metrics: Rc<Metrics>,
        memory: Rc<MemoryBudget>,
    ) -> ConnectionPool {
        // Guards against writing to a connection that its backend is about to close: half the time is left.
        let max_idle = backend_idle_timeout / 2;
        ConnectionPool {
            idle: RefCell::default(),
            permits: Permits::new(connections),
            connect_timeout,
            idle_limit: Cell::new(max_idle),
            max_idle,
            metrics,
            memory,
            malformed_report_log: LogRateLimiter::default(),
        }
    }

    /// A permit for a connection in use; idle connections make room for it. None: as many are in use as may be.
    pub(super) fn try_acquire(&self) -> Option<OwnedSemaphorePermit> {
        let permit = self.permits.try_acquire()?;
        self.evict_beyond_permits();
        Some(permit)
    }

    /// An idle connection. The one used last is taken first, so that those not needed age and are closed.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&address)?;
        while let Some(mut connection) = stack.pop() {
            if connection.idle_since.elapsed() < self.idle_limit.get() && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back that may carry another call.
    pub fn give_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(address).or_default().push(connection);
        }
    }

    /// A connection broke as it was used again after being idle for so long. Guards against backends that drop idle
    /// connections silently and long before their time-out: from now on none is used after half that time.
    pub(super) fn broke_after_idle(&self, idle: Duration) {
        if idle >= MIN_IDLE_LIMIT {
            self.idle_limit.set(self.idle_limit.get().min((idle / 2).max(MIN_IDLE_LIMIT)));
        }
    }

    /// Closes idle connections that are old or were closed by the other side. The limit on idle time, where it was
    /// lowered, rises again by a twentieth.
    pub fn retire(&self) {
        self.idle_limit.set((self.idle_limit.get() * 21 / 20).min(self.max_idle));
        self.idle.borrow_mut().retain(|_, stack| {
            stack.retain_mut(|c| c.idle_since.elapsed() < self.idle_limit.get() && c.is_usable());
            !stack.is_empty()
        });
    }

    /// Closes the idle connections to an address that is no longer a backend's, or whose backend restarted.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Leaves so many quarters of the connections to the other process of this gateway.
    pub fn leave(&self, quarters: usize) {
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

    /// Closes one idle connection, of the backend that has most of them.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(stack) = idle.values_mut().filter(|s| !s.is_empty()).max_by_key(|s| s.len()) {
            stack.remove(0);
        }
    }
}
