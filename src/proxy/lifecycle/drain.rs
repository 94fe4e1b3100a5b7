//! Whether the process serves, drains or ends: one state for `/_health`, the operators, the accept loop and the
//! connections that clients keep.

use std::time::Duration;
use tokio::sync::watch;

/// How long a client's connection may be idle: clients are promised 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// The same while the gateway drains, which must be over within 4 s: longer than a busy client's connection is idle
/// between two requests, and less than half of that time.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);

/// How near its end the process is. It only goes on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No end in sight.
    #[default]
    Running,
    /// SIGTERM came: every connection is closed after its response.
    Stopping,
    /// The last moments after SIGTERM: what is still in flight is failed.
    Final,
}

/// What the process is doing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LifecycleState {
    /// The endpoint list is known.
    pub endpoints_known: bool,
    /// It may serve: its predecessor, if there was one, has handed over.
    pub serving: bool,
    /// An operator drains the gateway: requests are still served, and connections are closed. After SIGTERM it is
    /// `shutdown` that tells.
    pub operator_drain: bool,
    /// Another process accepts the new connections.
    pub replaced: bool,
    /// How near the end is.
    pub shutdown: ShutdownPhase,
}

impl LifecycleState {
    fn may_serve(&self) -> bool {
        self.endpoints_known && self.serving && !self.operator_drain
    }

    /// Whether this process is ready to serve.
    fn is_ready(&self) -> bool {
        self.may_serve() && self.shutdown == ShutdownPhase::Running
    }

    /// Whether clients should come to the gateway. While another process accepts the new connections, the end of this
    /// one is not the gateway's.
    fn is_healthy(&self) -> bool {
        self.may_serve() && (self.replaced || self.shutdown == ShutdownPhase::Running)
    }

    /// Whether a response is the last on its connection.
    fn closes_connections(&self) -> bool {
        self.operator_drain || self.replaced || self.shutdown > ShutdownPhase::Running
    }

    /// How long a client's connection may be idle. At the end new connections are still accepted, so a request that
    /// crosses the close is retried on one of them; where another process accepts them there is time to wait until a
    /// connection is idle for as long as ever.
    fn idle_timeout(&self) -> Duration {
        match self {
            LifecycleState { replaced: true, .. } => IDLE_TIMEOUT,
            LifecycleState { shutdown: ShutdownPhase::Stopping | ShutdownPhase::Final, .. } => Duration::ZERO,
            LifecycleState { operator_drain: true, .. } => DRAINING_IDLE_TIMEOUT,
            _ => IDLE_TIMEOUT,
        }
    }
}

/// The state of the process, and who waits for it to change.
#[derive(Default)]
pub struct Lifecycle {
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Changes the state. Returns whether that made a difference.
    fn update(&self, change: impl FnOnce(&mut LifecycleState)) -> bool {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        })
    }

    /// The endpoint list is known. Returns whether it was not before.
    pub fn mark_endpoints_known(&self) -> bool {
        self.update(|state| state.endpoints_known = true)
    }
    /// The process may serve.
    pub fn start_serving(&self) {
        self.update(|state| state.serving = true);
    }
    /// An operator drains the gateway, or puts it back into service.
    pub fn set_operator_drain(&self, operator_drain: bool) {
        self.update(|state| state.operator_drain = operator_drain);
    }
    /// Another process has taken over, or is gone again.
    pub fn set_replaced(&self, replaced: bool) {
        self.update(|state| state.replaced = replaced);
    }
    /// Goes on towards the end, never back.
    pub fn advance_shutdown(&self, phase: ShutdownPhase) {
        self.update(|state| state.shutdown = state.shutdown.max(phase));
    }

    /// The state now.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }
    /// Reports each change.
    pub fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }

    /// Whether another process accepts the new connections.
    pub fn is_replaced(&self) -> bool {
        self.state().replaced
    }
    /// Whether this process is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.state().is_ready()
    }
    /// Whether clients should come to the gateway, which may be another process by now.
    pub fn is_healthy(&self) -> bool {
        self.state().is_healthy()
    }
    /// Whether a response is the last on its connection.
    pub fn closes_connections(&self) -> bool {
        self.state().closes_connections()
    }
    /// How long a client's connection may be idle now.
    pub fn idle_timeout(&self) -> Duration {
        self.state().idle_timeout()
    }
}

#[cfg(test)]
mod tests;
