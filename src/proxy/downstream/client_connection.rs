//! State of one client connection, as far as it decides when the connection is closed.

use super::client_input::ClientInput;
use super::client_output::ClientOutput;
use crate::decision::{EvictionLimits, Micros};
use crate::proxy::admin::metrics::ConnectionCloseReason;
use crate::proxy::runtime::clock::micros;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
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
    pub(super) id: u64,
    pub(super) phase: Cell<Phase>,
    /// When the phase began or, while a head is read, when bytes last arrived.
    pub(super) last_activity: Cell<Instant>,
    /// When the request head must be complete.
    pub(super) head_deadline: Cell<Instant>,
    /// Whether part of a response is not written yet.
    pub(super) has_unwritten_bytes: Cell<bool>,
    /// Why the connection is to be closed, unless bytes arrive first.
    pub(super) close_reason: Cell<Option<ConnectionCloseReason>>,
    pub(super) close_notify: Notify,
    pub(super) input: Rc<ClientInput>,
    pub(super) output: ClientOutput,
}

impl ClientConnection {
    /// Returns when the connection is to be closed, with the reason.
    pub async fn close_requested(&self) -> ConnectionCloseReason {
        // Guards against closing a connection on which a request arrived after the notification.
        loop {
            if let Some(reason) = self.close_reason.get() {
                return reason;
            }
            self.close_notify.notified().await;
        }
    }
    /// What is known of the input that was not read.
    pub fn input(&self) -> &Rc<ClientInput> {
        &self.input
    }
    /// What the client has taken of its responses.
    pub fn output(&self) -> &ClientOutput {
        &self.output
    }
    /// Sets whether part of a response is not written yet.
    pub fn set_has_unwritten_bytes(&self, unwritten: bool) {
        self.has_unwritten_bytes.set(unwritten);
    }
    pub(super) fn request_close(&self, reason: ConnectionCloseReason) {
        self.close_reason.set(Some(reason));
        self.close_notify.notify_one();
    }
    /// Returns for how long the client has sent nothing of the body of its open request, if that is long enough.
    pub(super) fn body_inactivity(&self, limits: EvictionLimits) -> Option<Micros> {
        let waited = micros(self.input.waited_since()?.elapsed());
        Some(waited).filter(|waited| *waited >= limits.body)
    }
    /// Returns for how long the client has read nothing of its response, if that is long enough.
    pub(super) fn read_inactivity(&self, limits: EvictionLimits) -> Option<Micros> {
        self.output.silence(limits.unread)
    }
    pub(super) fn key(&self) -> (Instant, u64) {
        (self.last_activity.get(), self.id)
    }
}

impl std::fmt::Debug for ClientConnection {
    /// Writes what a log line needs.
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter
            .debug_struct("ClientConnection")
            .field("number", &self.id)
            .field("phase", &self.phase.get())
            .field("for", &self.last_activity.get().elapsed())
            .field("input", &self.input)
            .field("output", &self.output)
            .finish()
    }
}
