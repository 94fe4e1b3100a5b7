//! Whether the gateway serves, drains or ends: one state for `/_health`, the operators, the accept loop and the
//! connections that clients keep.

use std::time::Duration;
use tokio::sync::watch;

/// How long a client's connection may stand idle: clients are promised 2 s.
const IDLE: Duration = Duration::from_millis(2100);
/// The same while the gateway drains, which must be over within 4 s: longer than a busy client's connection is
/// idle between two requests, and less than half of that time.
const IDLE_DRAINING: Duration = Duration::from_millis(1000);

/// How near its end the process is. It only goes on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not in sight.
    #[default]
    Running,
    /// SIGTERM came: every connection is let go after its answer.
    Stopping,
    /// The last moments after SIGTERM: what is still open is failed.
    Final,
}

/// What the process is about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LifecycleState {
    /// The list of backends is in hand.
    pub endpoints_known: bool,
    /// It may serve: a process before it, if there was one, has handed over.
    pub serving: bool,
    /// An operator empties the gateway: what comes is still served, and connections are let go.
    pub draining: bool,
    /// Another process takes the new connections.
    pub replaced: bool,
    /// How near the end is.
    pub shutdown: ShutdownPhase,
}

/// The state, and who waits for it to change.
#[derive(Default)]
pub struct Lifecycle {
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    fn set(&self, change: impl FnOnce(&mut LifecycleState)) -> bool {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        })
    }

    /// The list of backends is in hand. Returns whether that is news.
    pub fn mark_endpoints_known(&self) -> bool {
        self.set(|state| state.endpoints_known = true)
    }
    /// The process may serve.
    pub fn start_serving(&self) {
        self.set(|state| state.serving = true);
    }
    /// An operator's word: empty the gateway, or back to work.
    pub fn set_draining(&self, on: bool) {
        self.set(|state| state.draining = on);
    }
    /// Another process has taken over, or is gone again.
    pub fn set_replaced(&self, on: bool) {
        self.set(|state| state.replaced = on);
    }
    /// Goes on towards the end, never back.
    pub fn advance_shutdown(&self, to: ShutdownPhase) {
        self.set(|state| state.shutdown = state.shutdown.max(to));
    }

    /// The state now.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }
    /// Tells each change.
    pub fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }
    /// Another process takes the new connections.
    pub fn is_replaced(&self) -> bool {
        self.state().replaced
    }

    /// Whether this process is ready to serve.
    pub fn is_ready(&self) -> bool {
        let state = self.state();
        state.endpoints_known && state.serving && !state.draining && state.shutdown == ShutdownPhase::Running
    }
    /// Whether clients should come to the gateway. While another process takes the new connections, the word
    /// about the end of this one is not the gateway's.
    pub fn is_healthy(&self) -> bool {
        let state = self.state();
        state.endpoints_known
            && state.serving
            && !state.draining
            && (state.replaced || state.shutdown == ShutdownPhase::Running)
    }
    /// Whether an answer is the last on its connection.
    pub fn closes_connections(&self) -> bool {
        let state = self.state();
        state.draining || state.replaced || state.shutdown > ShutdownPhase::Running
    }
    /// How long a connection of a client may stand idle now. At the end new connections are still taken, so a
    /// request that crosses the closing comes back on one of them; where another process takes them there is
    /// time to wait until a connection is idle for as long as ever.
    pub fn idle_timeout(&self) -> Duration {
        match self.state() {
            LifecycleState { replaced: true, .. } => IDLE,
            LifecycleState { shutdown: ShutdownPhase::Stopping | ShutdownPhase::Final, .. } => Duration::ZERO,
            LifecycleState { draining: true, .. } => IDLE_DRAINING,
            _ => IDLE,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_is_undone_and_an_end_is_not() {
        let duty = Lifecycle::default();
        assert!(duty.mark_endpoints_known() && !duty.mark_endpoints_known());
        assert!(!duty.is_ready(), "not before it may serve");
        duty.start_serving();
        assert!(duty.is_ready() && duty.is_healthy() && !duty.closes_connections());
        duty.set_draining(true);
        assert!(!duty.is_ready() && !duty.is_healthy() && duty.closes_connections());
        duty.set_draining(false);
        assert!(duty.is_ready() && !duty.closes_connections());
        duty.advance_shutdown(ShutdownPhase::Final);
        duty.advance_shutdown(ShutdownPhase::Stopping);
        assert_eq!(duty.state().shutdown, ShutdownPhase::Final);
        assert!(!duty.is_ready() && !duty.is_healthy() && duty.closes_connections());
    }

    #[test]
    fn a_replaced_process_speaks_for_the_gateway_until_its_end() {
        let duty = Lifecycle::default();
        duty.mark_endpoints_known();
        duty.start_serving();
        duty.set_replaced(true);
        duty.advance_shutdown(ShutdownPhase::Stopping);
        assert!(duty.is_healthy() && !duty.is_ready() && duty.closes_connections());
        assert_eq!(duty.idle_timeout(), IDLE, "no connection is closed in a hurry");
    }
}
