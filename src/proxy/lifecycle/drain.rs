//! State of the process: serving, draining or shutting down. `/_health`, the admin server, the accept loop and the
//! clients' persistent connections all follow this one state.

use std::time::Duration;
use tokio::sync::watch;

/// Idle time-out of a client connection: clients are promised 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Idle time-out of a client connection while an operator drains the gateway. It is longer than a busy
/// client's pause between two requests, and shorter than half of the 4 s within which the drain must be over.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Phase of the shutdown. A process never returns to an earlier phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown was requested.
    #[default]
    Running,
    /// SIGTERM was received: each connection is closed after its response.
    Stopping,
    /// The grace period after SIGTERM is over: requests still in flight are failed.
    Final,
}

/// Lifecycle state of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LifecycleState {
    /// Whether the endpoint list is known.
    pub endpoints_known: bool,
    /// Whether the process may take part in the cluster: its predecessor, if there was one, has handed over.
    pub may_join_cluster: bool,
    /// Whether the process may serve.
    pub serving: bool,
    /// Whether an operator drains the gateway: requests are still served, and connections are closed after the
    /// response. Not set by SIGTERM, which advances `shutdown`.
    pub operator_drain: bool,
    /// Whether another process accepts the new connections.
    pub replaced: bool,
    /// Whether that process has what it needs to take part in the cluster in place of this one.
    pub seat_handed_over: bool,
    /// Phase of the shutdown.
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

    /// Whether clients should use the gateway. While another process accepts the new connections, the shutdown of
    /// this process does not make the gateway unhealthy.
    fn is_healthy(&self) -> bool {
        self.may_serve() && (self.replaced || self.shutdown == ShutdownPhase::Running)
    }

    /// Whether connections are closed after their current response.
    fn closes_connections(&self) -> bool {
        self.operator_drain || self.replaced || self.shutdown > ShutdownPhase::Running
    }

    /// Returns the idle time-out of client connections. During shutdown it is zero: new connections are still
    /// accepted, so a request sent while its connection is being closed is retried on a new one. A replaced
    /// process keeps the ordinary time-out: the other process accepts the new connections, so the old ones
    /// may stay open.
    fn idle_timeout(&self) -> Duration {
        match self {
            LifecycleState { replaced: true, .. } => IDLE_TIMEOUT,
            LifecycleState { shutdown: ShutdownPhase::Stopping | ShutdownPhase::Final, .. } => Duration::ZERO,
            LifecycleState { operator_drain: true, .. } => DRAINING_IDLE_TIMEOUT,
            _ => IDLE_TIMEOUT,
        }
    }
}

/// Lifecycle state that tasks can read and subscribe to.
#[derive(Default)]
pub struct Lifecycle {
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Updates the state and notifies subscribers if it changed. Returns whether it changed.
    fn update(&self, change: impl FnOnce(&mut LifecycleState)) -> bool {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        })
    }

    /// Marks the endpoint list as known. Returns whether it was unknown before.
    pub fn mark_endpoints_known(&self) -> bool {
        self.update(|state| state.endpoints_known = true)
    }
    /// Allows the process to take part in the cluster.
    pub fn start_joining(&self) {
        self.update(|state| state.may_join_cluster = true);
    }
    /// Allows the process to serve.
    pub fn start_serving(&self) {
        self.update(|state| {
            state.may_join_cluster = true;
            state.serving = true;
        });
    }
    /// Starts or ends a drain by an operator.
    pub fn set_operator_drain(&self, operator_drain: bool) {
        self.update(|state| state.operator_drain = operator_drain);
    }
    /// Sets whether another process has taken over and accepts the new connections.
    pub fn set_replaced(&self, replaced: bool) {
        self.update(|state| {
            state.replaced = replaced;
            state.seat_handed_over &= replaced;
        });
    }
    /// Records that the process that replaces this one may take part in the cluster in its place.
    pub fn hand_over_seat(&self) {
        self.update(|state| state.seat_handed_over = state.replaced);
    }
    /// Advances the shutdown to a phase; an earlier phase is ignored.
    pub fn advance_shutdown(&self, phase: ShutdownPhase) {
        self.update(|state| state.shutdown = state.shutdown.max(phase));
    }

    /// Returns the current state.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }
    /// Returns a receiver that is notified of each change.
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
    /// Whether clients should use the gateway, which may be served by another process by now.
    pub fn is_healthy(&self) -> bool {
        self.state().is_healthy()
    }
    /// Whether connections are closed after their current response.
    pub fn closes_connections(&self) -> bool {
        self.state().closes_connections()
    }
    /// Returns the current idle time-out of client connections.
    pub fn idle_timeout(&self) -> Duration {
        self.state().idle_timeout()
    }
}

#[cfg(test)]
mod tests;
