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
pub enum End {
    /// Not in sight.
    #[default]
    Open,
    /// SIGTERM came: every connection is let go after its answer.
    Stopping,
    /// The last moments after SIGTERM: what is still open is failed.
    Ending,
}

/// What the process is about.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct State {
    /// The list of backends is in hand.
    pub listed: bool,
    /// It may serve: a process before it, if there was one, has handed over.
    pub serving: bool,
    /// An operator empties the gateway: what comes is still served, and connections are let go.
    pub drains: bool,
    /// Another process takes the new connections.
    pub replaced: bool,
    /// How near the end is.
    pub end: End,
}

/// The state, and who waits for it to change.
#[derive(Default)]
pub struct Duty {
    state: watch::Sender<State>,
}

impl Duty {
    fn set(&self, change: impl FnOnce(&mut State)) -> bool {
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            *state != before
        })
    }

    /// The list of backends is in hand. Returns whether that is news.
    pub fn listed(&self) -> bool {
        self.set(|state| state.listed = true)
    }
    /// The process may serve.
    pub fn serve(&self) {
        self.set(|state| state.serving = true);
    }
    /// An operator's word: empty the gateway, or back to work.
    pub fn drain(&self, on: bool) {
        self.set(|state| state.drains = on);
    }
    /// Another process has taken over, or is gone again.
    pub fn replace(&self, on: bool) {
        self.set(|state| state.replaced = on);
    }
    /// Goes on towards the end, never back.
    pub fn end(&self, to: End) {
        self.set(|state| state.end = state.end.max(to));
    }

    /// The state now.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }
    /// Tells each change.
    pub fn changes(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }
    /// Another process takes the new connections.
    pub fn is_replaced(&self) -> bool {
        self.state().replaced
    }

    /// Whether this process is ready to serve.
    pub fn ready(&self) -> bool {
        let state = self.state();
        state.listed && state.serving && !state.drains && state.end == End::Open
    }
    /// Whether clients should come to the gateway. While another process takes the new connections, the word
    /// about the end of this one is not the gateway's.
    pub fn healthy(&self) -> bool {
        let state = self.state();
        state.listed && state.serving && !state.drains && (state.replaced || state.end == End::Open)
    }
    /// Whether an answer is the last on its connection.
    pub fn lets_go(&self) -> bool {
        let state = self.state();
        state.drains || state.replaced || state.end > End::Open
    }
    /// How long a connection of a client may stand idle now. At the end new connections are still taken, so a
    /// request that crosses the closing comes back on one of them; where another process takes them there is
    /// time to wait until a connection is idle for as long as ever.
    pub fn longest_idle(&self) -> Duration {
        match self.state() {
            State { replaced: true, .. } => IDLE,
            State { end: End::Stopping | End::Ending, .. } => Duration::ZERO,
            State { drains: true, .. } => IDLE_DRAINING,
            _ => IDLE,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_is_undone_and_an_end_is_not() {
        let duty = Duty::default();
        assert!(duty.listed() && !duty.listed());
        assert!(!duty.ready(), "not before it may serve");
        duty.serve();
        assert!(duty.ready() && duty.healthy() && !duty.lets_go());
        duty.drain(true);
        assert!(!duty.ready() && !duty.healthy() && duty.lets_go());
        duty.drain(false);
        assert!(duty.ready() && !duty.lets_go());
        duty.end(End::Ending);
        duty.end(End::Stopping);
        assert_eq!(duty.state().end, End::Ending);
        assert!(!duty.ready() && !duty.healthy() && duty.lets_go());
    }

    #[test]
    fn a_replaced_process_speaks_for_the_gateway_until_its_end() {
        let duty = Duty::default();
        duty.listed();
        duty.serve();
        duty.replace(true);
        duty.end(End::Stopping);
        assert!(duty.healthy() && !duty.ready() && duty.lets_go());
        assert_eq!(duty.longest_idle(), IDLE, "no connection is closed in a hurry");
    }
}
