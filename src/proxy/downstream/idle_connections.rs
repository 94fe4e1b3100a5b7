//! Client connections without an open request: how long each may stay open, and which is closed first when permits are
//! scarce.

use super::client_input::ClientInput;
use super::client_socket::ClientSocket;
use crate::proxy::lifecycle::drain::Lifecycle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
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
/// When permits are scarce, new connections that have sent nothing for at least this long are closed first.
const MIN_NEW_INACTIVITY: Duration = Duration::from_millis(50);
/// Connections whose head is incomplete and made no progress for at least this long are closed next. The limit is long
/// because clients write their heads in pieces.
const MIN_HEAD_INACTIVITY: Duration = Duration::from_millis(600);
/// Connections that have been idle between requests for at least this long are closed last.
const MIN_IDLE_INACTIVITY: Duration = Duration::from_millis(50);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// New connection on which nothing was received yet.
    New,
    /// Part of a request head was received.
    ReadingHead,
    /// A request is open: its `OpenRequestGuard` exists.
    RequestOpen,
    /// Between two requests.
    Idle,
    /// The socket is closed.
    Closed,
}

/// One connection of a client.
pub struct ClientConnection {
    id: u64,
    phase: Cell<Phase>,
    /// When the phase began or, while a head is read, when bytes last arrived.
    last_activity: Cell<Instant>,
    /// When the request head must be complete.
    head_deadline: Cell<Instant>,
    /// Whether part of a response is not written yet.
    has_unwritten_bytes: Cell<bool>,
    /// Whether the connection is to be closed, unless bytes arrive first.
    should_close: Cell<bool>,
    close_notify: Notify,
    input: Rc<ClientInput>,
}

impl ClientConnection {
    /// Returns when the connection is to be closed.
    pub async fn close_requested(&self) {
        // Guards against closing a connection on which a request arrived after the notification.
        while !self.should_close.get() {
            self.close_notify.notified().await;
        }
    }
    /// What is known of the input that was not read.
    pub fn input(&self) -> &Rc<ClientInput> {
        &self.input
    }
    /// Sets whether part of a response is not written yet.
    pub fn set_has_unwritten_bytes(&self, unwritten: bool) {
        self.has_unwritten_bytes.set(unwritten);
    }
    fn request_close(&self) {
        self.should_close.set(true);
        self.close_notify.notify_one();
    }
    fn key(&self) -> (Instant, u64) {
        (self.last_activity.get(), self.id)
    }
}

type ByLastActivity = BTreeMap<(Instant, u64), Rc<ClientConnection>>;

/// All connections without an open request, by phase, the longest inactive first.
pub struct IdleConnections {
    lifecycle: Rc<Lifecycle>,
    last_id: Cell<u64>,
    new_connections: RefCell<ByLastActivity>,
    reading_head: RefCell<ByLastActivity>,
    idle: RefCell<ByLastActivity>,
}

impl IdleConnections {
    /// Returns a registry without connections.
    pub fn new(lifecycle: Rc<Lifecycle>) -> IdleConnections {
        let (new_connections, reading_head, idle) = Default::default();
        IdleConnections { lifecycle, last_id: Cell::new(0), new_connections, reading_head, idle }
    }

    /// Adds a connection that was accepted.
    pub fn add(self: &Rc<IdleConnections>, stream: Rc<TcpStream>) -> (Rc<ClientConnection>, ClientSocket) {
        let now = Instant::now();
        self.last_id.set(self.last_id.get() + 1);
        let connection = Rc::new(ClientConnection {
            id: self.last_id.get(),
            phase: Cell::new(Phase::New),
            last_activity: Cell::new(now),
            head_deadline: Cell::new(now + HEAD_TIMEOUT),
            has_unwritten_bytes: Cell::new(false),
            should_close: Cell::new(false),
            close_notify: Notify::new(),
            input: Rc::new(ClientInput::new(now)),
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
            Phase::RequestOpen | Phase::Closed => None,
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
        connection.should_close.set(false);
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
        if connection.phase.get() == Phase::Idle {
            // The head arrived together with the previous request and was already in hyper's buffer.
            connection.head_deadline.set(Instant::now() + HEAD_TIMEOUT);
        }
        connection.input.set_wanted(false);
        self.set_phase(connection, Phase::RequestOpen);
        OpenRequestGuard { registry: self.clone(), connection: connection.clone() }
    }

    /// Closes the connections whose time-out has expired.
    pub fn sweep(&self) {
        let (now, idle_timeout) = (Instant::now(), self.lifecycle.idle_timeout());
        for connections in [&self.new_connections, &self.reading_head] {
            connections
                .borrow()
                .values()
                .filter(|connection| now >= connection.head_deadline.get())
                .for_each(|connection| connection.request_close());
        }
        let idle = self.idle.borrow();
        let expired =
            idle.values().take_while(|connection| now >= connection.last_activity.get() + idle_timeout);
        expired
            .filter(|connection| !connection.has_unwritten_bytes.get())
            .for_each(|connection| connection.request_close());
    }

    /// Closes one connection that has been inactive for long enough, if there is any. New connections come first, then
    /// those with an incomplete head, then idle ones; in each group, the longest inactive comes first.
    pub fn evict_one(&self) {
        let now = Instant::now();
        let eviction_order = [
            (&self.new_connections, MIN_NEW_INACTIVITY),
            (&self.reading_head, MIN_HEAD_INACTIVITY),
            (&self.idle, MIN_IDLE_INACTIVITY),
        ];
        for (connections, min_inactivity) in eviction_order {
            let mut connections = connections.borrow_mut();
            if connections.first_key_value().is_some_and(|(&(since, _), _)| now >= since + min_inactivity) {
                // Removed from the list, so that the next call finds another connection.
                if let Some((_, connection)) = connections.pop_first() {
                    connection.request_close();
                }
                return;
            }
        }
    }
}

/// Keeps a connection from counting as idle while its request is open.
pub struct OpenRequestGuard {
    registry: Rc<IdleConnections>,
    connection: Rc<ClientConnection>,
}

impl OpenRequestGuard {
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
        self.connection.input.set_wanted(true);
        self.registry.set_phase(&self.connection, Phase::Idle);
    }
}
