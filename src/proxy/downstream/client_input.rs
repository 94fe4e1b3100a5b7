//! What is known of a client's input that the gateway has not read.

use super::listener::AcceptedConnection;
use super::wake_flag::WakeFlag;
use crate::decision::InputProgress;
use crate::proxy::runtime::clock::Clock;
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use tokio::time::Instant;

/// Input of one connection, updated by its socket and by the reader of the present request's body.
#[derive(Debug)]
pub struct ClientInput {
    received_bytes: Cell<u64>,
    /// Whether bytes that arrived before the accept are still unread, so that a read that finds nothing is mistaken: the
    /// socket is not known to be readable yet.
    has_unread_bytes: Cell<bool>,
    /// When the last byte arrived before the accept, until something arrives after it.
    arrived_before_accept: Cell<Option<Instant>>,
    /// Whether the last read found nothing, and nothing has arrived since.
    is_drained: Cell<bool>,
    /// Whether a head is expected.
    expects_head: Cell<bool>,
    /// Set while the reader of a body waits for more and nothing was read for it yet; its flag tells that hyper had more,
    /// the end of the body among it.
    body_reader: RefCell<Option<Arc<WakeFlag>>>,
    /// Since when the client is waited for, with everything read that has arrived.
    waited_since: Cell<Option<Instant>>,
    /// When bytes arrived at the end of the last such wait.
    drained_at: Cell<Instant>,
}

impl ClientInput {
    /// Returns the input of a connection from which nothing was read.
    pub fn new(accepted: &AcceptedConnection) -> ClientInput {
        ClientInput {
            received_bytes: Cell::new(0),
            has_unread_bytes: Cell::new(accepted.has_input),
            arrived_before_accept: Cell::new(Some(accepted.last_arrival).filter(|_| accepted.has_input)),
            is_drained: Cell::new(false),
            expects_head: Cell::new(true),
            body_reader: RefCell::default(),
            waited_since: Cell::new(None),
            drained_at: Cell::new(accepted.last_arrival),
        }
    }

    /// Called when a read found nothing.
    pub fn drained(&self) {
        if self.has_unread_bytes.get() {
            return;
        }
        self.is_drained.set(true);
        self.update_wait();
    }

    /// Called when bytes have arrived, whether or not they are read now.
    pub fn arrived(&self) {
        if self.waited_since.get().is_some() {
            self.drained_at.set(Instant::now());
        }
        if self.is_drained.replace(false) {
            self.arrived_before_accept.set(None);
        }
        self.update_wait();
    }

    /// Called when bytes were read.
    pub fn received(&self, bytes: usize) {
        self.has_unread_bytes.set(false);
        self.body_reader.replace(None);
        self.arrived();
        self.received_bytes.set(self.received_bytes.get() + bytes as u64);
    }

    /// Sets whether a head is expected.
    pub fn set_expects_head(&self, expected: bool) {
        if expected {
            self.arrived_before_accept.set(None);
        }
        self.expects_head.set(expected);
        self.body_reader.replace(None);
        self.update_wait();
    }

    /// Sets the flag of the reader of a body that waits for more, or that none waits. If it gets more without a read of the
    /// socket, hyper held it, and the client was not waited for.
    pub fn set_body_reader(&self, reader: Option<Arc<WakeFlag>>) {
        self.body_reader.replace(reader);
        self.update_wait();
    }

    fn expects_body(&self) -> bool {
        self.body_reader.borrow().as_ref().is_some_and(|reader| !reader.is_woken())
    }

    fn update_wait(&self) {
        let is_expected = self.expects_head.get() || self.expects_body();
        let is_waited_for = self.is_drained.get() && is_expected;
        if is_waited_for != self.waited_since.get().is_some() {
            self.waited_since.set(is_waited_for.then(Instant::now));
        }
    }

    /// Returns when the last byte that was read arrived, as far as it is known.
    pub fn last_arrival(&self) -> Instant {
        self.arrived_before_accept.get().unwrap_or_else(Instant::now)
    }

    /// Returns since when the client is waited for, if it is.
    pub fn waited_since(&self) -> Option<Instant> {
        self.waited_since.get()
    }

    /// Returns the progress while the body of a request is read.
    pub fn progress(&self, clock: Clock) -> InputProgress {
        let is_waited_for = self.waited_since.get().is_some();
        let drained_at = if is_waited_for { Instant::now() } else { self.drained_at.get() };
        InputProgress { received_bytes: self.received_bytes.get(), drained_at: clock.time_at(drained_at) }
    }
}
