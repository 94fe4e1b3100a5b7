//! Client connections: how long each may stay open without a request, and which is closed first when permits are scarce.

use super::client_connection::{ClientConnection, Phase};
use super::client_input::ClientInput;
use super::client_output::ClientOutput;
use super::client_socket::ClientSocket;
use super::listener::AcceptedConnection;
use crate::decision::{EvictionLimits, Micros};
use crate::proxy::admin::metrics::ConnectionCloseReason;
use crate::proxy::lifecycle::drain::Lifecycle;
use crate::proxy::runtime::clock::{duration, Clock};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time-out for a complete request head, from its first byte, or from the accept on a new connection. Clients may take
/// 2 s; a connection that sends only part of a request must be closed within 3 s of connecting.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2300);
/// A body that does not arrive with its head may keep the gateway waiting for the rest of `HEAD_TIMEOUT`, and at least
/// for this time, because a client may take 2 s to write a request, wherever the head ends in that time.
const MIN_BODY_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks for connections whose time-out has expired.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

type ByLastActivity = BTreeMap<(Instant, u64), Rc<ClientConnection>>;

/// All connections by phase, the longest inactive first.
pub struct IdleConnections {
    lifecycle: Rc<Lifecycle>,
    clock: Clock,
    last_id: Cell<u64>,
    new_connections: RefCell<ByLastActivity>,
    reading_head: RefCell<ByLastActivity>,
    idle: RefCell<ByLastActivity>,
    request_open: RefCell<ByLastActivity>,
}

impl IdleConnections {
    /// Returns a registry without connections.
    pub fn new(lifecycle: Rc<Lifecycle>, clock: Clock) -> IdleConnections {
        let (new_connections, reading_head, idle, request_open) = Default::default();
        let last_id = Cell::new(0);
        IdleConnections { lifecycle, clock, last_id, new_connections, reading_head, idle, request_open }
    }

    /// Adds a connection that was accepted.
    pub fn add(
        self: &Rc<IdleConnections>,
        accepted: AcceptedConnection,
    ) -> (Rc<ClientConnection>, ClientSocket) {
        self.last_id.set(self.last_id.get() + 1);
        let input = Rc::new(ClientInput::new(&accepted));
        let stream = Rc::new(accepted.stream);
        let connection = Rc::new(ClientConnection {
            id: self.last_id.get(),
            phase: Cell::new(Phase::New),
            last_activity: Cell::new(Instant::now()),
            head_deadline: Cell::new(accepted.last_arrival + HEAD_TIMEOUT),
            has_unwritten_bytes: Cell::new(false),
            close_reason: Cell::new(None),
            close_notify: Notify::new(),
            input,
            output: ClientOutput::new(self.clock, &stream),
        });
        self.new_connections.borrow_mut().insert(connection.key(), connection.clone());
        let socket = ClientSocket::new(stream, connection.clone(), self.clone());
        (connection, socket)
    }

    fn connections_in(&self, phase: Phase) -> Option<&RefCell<ByLastActivity>> {
        match phase {
            Phase::New => Some(&self.new_connections),
            Phase::ReadingHead => Some(&self.reading_head),
            Phase::Idle => Some(&self.idle),
            Phase::RequestOpen => Some(&self.request_open),
            Phase::Closed => None,
        }
    }

    fn set_phase(&self, connection: &Rc<ClientConnection>, phase: Phase) {
        if let Some(old) = self.connections_in(connection.phase.get()) {
            old.borrow_mut().remove(&connection.key());
        }
        if connection.phase.get() == Phase::Closed {
            return;
        }
        connection.last_activity.set(Instant::now());
        connection.phase.set(phase);
        connection.close_reason.set(None);
        if let Some(new) = self.connections_in(phase) {
            new.borrow_mut().insert(connection.key(), connection.clone());
        }
    }

    /// Called when bytes arrived on a connection.
    pub fn received(&self, connection: &Rc<ClientConnection>) {
        match connection.phase.get() {
            Phase::RequestOpen | Phase::Closed => {}
            Phase::Idle => {
                connection.head_deadline.set(Instant::now() + HEAD_TIMEOUT);
                self.set_phase(connection, Phase::ReadingHead);
            }
            Phase::New | Phase::ReadingHead => self.set_phase(connection, Phase::ReadingHead),
        }
    }

    /// Called when the socket is closed.
    pub fn closed(&self, connection: &Rc<ClientConnection>) {
        self.set_phase(connection, Phase::Closed);
    }

    /// Called when the head of a request is complete. The request is open until the guard is dropped.
    pub fn open_request(self: &Rc<IdleConnections>, connection: &Rc<ClientConnection>) -> OpenRequestGuard {
        let is_pipelined = connection.phase.get() == Phase::Idle;
        if is_pipelined {
            // The head arrived together with the previous request and was already in hyper's buffer.
            connection.head_deadline.set(Instant::now() + HEAD_TIMEOUT);
        }
        connection.input.set_expects_head(false);
        self.set_phase(connection, Phase::RequestOpen);
        OpenRequestGuard { registry: self.clone(), connection: connection.clone(), is_pipelined }
    }

    /// Looks at what clients have taken of their responses, and closes the connections whose time-out has expired.
    pub fn sweep(&self) {
        for connections in [&self.request_open, &self.idle] {
            connections.borrow().values().for_each(|connection| connection.output.observe_if_waiting());
        }
        let (now, idle_timeout) = (Instant::now(), self.lifecycle.idle_timeout());
        for connections in [&self.new_connections, &self.reading_head] {
            connections
                .borrow()
                .values()
                .filter(|connection| now >= connection.head_deadline.get())
                .for_each(|connection| connection.request_close(ConnectionCloseReason::Idle));
        }
        let idle = self.idle.borrow();
        let expired =
            idle.values().take_while(|connection| now >= connection.last_activity.get() + idle_timeout);
        expired
            .filter(|connection| !connection.has_unwritten_bytes.get())
            .for_each(|connection| connection.request_close(ConnectionCloseReason::Idle));
    }

    /// Closes one connection that has been inactive for long enough, if there is any. New connections come first, then
    /// those with an incomplete head, idle ones, those with an incomplete body and those with an unread response; in each
    /// group, the longest inactive comes first. Returns whether there was any.
    pub fn evict_one(&self, limits: EvictionLimits) -> bool {
        let now = Instant::now();
        self.evict_without_request(now, limits)
            || self.evict_open(|connection| connection.body_inactivity(limits))
            || self.evict_open(|connection| connection.read_inactivity(limits))
    }

    /// Closes all connections that [`IdleConnections::evict_one`] would close one after the other.
    pub fn evict_all(&self, limits: EvictionLimits) {
        while self.evict_one(limits) {}
    }

    /// Closes at most `count` connections whose response is not read for long enough.
    pub fn evict_unread(&self, count: usize, limits: EvictionLimits) {
        let has_evicted = |_: &usize| self.evict_open(|connection| connection.read_inactivity(limits));
        let _ = (0..count).take_while(has_evicted).count();
    }

    /// Closes the connections whose client has sent nothing of its body for long enough.
    pub fn evict_stalled_bodies(&self, limits: EvictionLimits) {
        while self.evict_open(|connection| connection.body_inactivity(limits)) {}
    }

    /// Closes the connection with an open request that has been inactive for longest. Returns whether any was.
    fn evict_open(&self, inactivity: impl Fn(&ClientConnection) -> Option<Micros>) -> bool {
        let mut open = self.request_open.borrow_mut();
        let inactive = open.iter().filter_map(|(key, connection)| Some((inactivity(connection)?, *key)));
        let longest_inactive = inactive.max_by_key(|(inactivity, _)| *inactivity).map(|(_, key)| key);
        // Removed from the list, so that the next call finds another connection.
        let Some(connection) = longest_inactive.and_then(|key| open.remove(&key)) else { return false };
        connection.request_close(ConnectionCloseReason::Evicted);
        true
    }

    /// Closes one connection without an open request. Returns whether there was any to be closed.
    fn evict_without_request(&self, now: Instant, limits: EvictionLimits) -> bool {
        let eviction_order = [
            (&self.new_connections, limits.new_connection),
            (&self.reading_head, limits.head),
            (&self.idle, limits.idle),
        ];
        for (connections, min_inactivity) in eviction_order {
            let mut connections = connections.borrow_mut();
            let min_inactivity = duration(min_inactivity);
            if connections.first_key_value().is_some_and(|(&(since, _), _)| now >= since + min_inactivity) {
                // Removed from the list, so that the next call finds another connection.
                if let Some((_, connection)) = connections.pop_first() {
                    connection.request_close(ConnectionCloseReason::Evicted);
                }
                return true;
            }
        }
        false
    }
}

/// Keeps a connection from counting as idle while its request is open.
pub struct OpenRequestGuard {
    registry: Rc<IdleConnections>,
    connection: Rc<ClientConnection>,
    is_pipelined: bool,
}

impl std::fmt::Debug for OpenRequestGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.debug_struct("OpenRequestGuard").field("connection", &self.connection.id).finish()
    }
}

impl OpenRequestGuard {
    /// Whether the request was sent before the response to the previous one.
    pub fn is_pipelined(&self) -> bool {
        self.is_pipelined
    }

    /// What is known of the input of the request's connection.
    pub fn input(&self) -> Rc<ClientInput> {
        self.connection.input().clone()
    }

    /// Returns how long the gateway waits for the request's body, in addition to the time that its length allows.
    pub fn body_wait(&self) -> Duration {
        let remaining = self.connection.head_deadline.get().saturating_duration_since(Instant::now());
        remaining.max(MIN_BODY_WAIT)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.connection.input.set_expects_head(true);
        self.registry.set_phase(&self.connection, Phase::Idle);
    }
}
