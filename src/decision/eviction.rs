//! How long a client connection may be inactive before it makes room for one that waits to be accepted.
//!
//! A client may pause while it writes a request or reads a response. The longer others wait to be accepted, the less of
//! a pause is left to one whose request has not begun, so that their wait stays below [`MAX_ACCEPT_WAIT`], well within the
//! time budget of a request. A body or a response that moves slowly is not cut for it.

use super::time::Micros;

/// Wait to be accepted at which no client may pause for longer than [`MIN_INACTIVITY`].
const MAX_ACCEPT_WAIT: Micros = Micros(300_000);
/// Least inactivity of any connection that is closed.
const MIN_INACTIVITY: Micros = Micros(50_000);
/// Inactivity in an incomplete head, if none waits for long: clients write their heads in pieces.
const HEAD_INACTIVITY: Micros = Micros(600_000);
/// Inactivity in an incomplete body.
const BODY_INACTIVITY: Micros = Micros(600_000);
/// Inactivity of the reader of a response.
const UNREAD_INACTIVITY: Micros = Micros(2_000_000);

/// Least inactivity of the connections that may be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionLimits {
    /// New connections from which nothing was received.
    pub new_connection: Micros,
    /// Connections whose request head is incomplete.
    pub head: Micros,
    /// Connections between two requests.
    pub idle: Micros,
    /// Connections whose request body is incomplete.
    pub body: Micros,
    /// Connections whose response is not read.
    pub unread: Micros,
}

impl EvictionLimits {
    /// Returns the limits while a connection has waited for this long to be accepted.
    pub fn after_waiting(wait: Micros) -> EvictionLimits {
        EvictionLimits {
            new_connection: MIN_INACTIVITY,
            head: shortened(HEAD_INACTIVITY, wait),
            idle: MIN_INACTIVITY,
            body: BODY_INACTIVITY,
            unread: UNREAD_INACTIVITY,
        }
    }
}

impl Default for EvictionLimits {
    /// Returns the limits if none waits to be accepted.
    fn default() -> EvictionLimits {
        EvictionLimits::after_waiting(Micros(0))
    }
}

/// Returns the part of `inactivity` that is left after this wait.
fn shortened(inactivity: Micros, wait: Micros) -> Micros {
    let remaining = MAX_ACCEPT_WAIT - wait;
    inactivity.times(remaining.secs() / MAX_ACCEPT_WAIT.secs()).max(MIN_INACTIVITY)
}
