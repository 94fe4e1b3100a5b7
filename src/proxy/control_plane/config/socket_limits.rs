//! Divides the process's descriptors between kinds of connections, so that no kind can starve another.

use crate::proxy::lifecycle::permits::MIN_KEPT_DIVISOR;

/// Limit on the connections of operators.
pub const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// Limit on the connections of clients that are refused for want of a permit.
const MAX_REFUSED_CONNECTIONS: usize = 4;
/// At most one connection of a client in this many is for those that are refused.
const CLIENTS_PER_REFUSED_CONNECTION: usize = 8;
/// Descriptors reserved for everything but clients, backends and the counter: standard streams, listeners, epoll,
/// signals, calls to discovery, the accepted client that waits for a permit, and operators.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_OPERATOR_CONNECTIONS;
/// One descriptor in this many is for the counter.
const DESCRIPTORS_PER_COUNTER_CONNECTION: usize = 32;
/// Limit on connections to the counter, which resets further ones.
const MAX_COUNTER_CONNECTIONS: usize = 32;
/// One descriptor in this many is for backends.
const DESCRIPTORS_PER_BACKEND_CONNECTION: usize = 4;

/// Limits on the connections of each kind.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Connections to the counter.
    pub counter: usize,
}

impl SocketLimits {
    /// Divides this many descriptors between the kinds of connections.
    pub(super) fn from_descriptors(descriptors: usize) -> SocketLimits {
        let counter = (descriptors / DESCRIPTORS_PER_COUNTER_CONNECTION).clamp(1, MAX_COUNTER_CONNECTIONS);
        let backends = (descriptors / DESCRIPTORS_PER_BACKEND_CONNECTION).max(1);
        // Clients get the rest. Besides their connections, which take up to a third, there may be connections of
        // peers that send nothing; these are closed after a time-out or when descriptors are short.
        let clients = descriptors.saturating_sub(backends + counter + RESERVED_DESCRIPTORS).max(1);
        SocketLimits { clients, backends, counter }
    }

    /// Returns how many of the connections from clients are for those that are refused.
    pub fn refused_clients(self) -> usize {
        (self.clients / CLIENTS_PER_REFUSED_CONNECTION).min(MAX_REFUSED_CONNECTIONS)
    }

    /// Returns how many are for those that are served.
    pub fn served_clients(self) -> usize {
        self.clients - self.refused_clients()
    }

    /// Returns the limits where this many processes of one gateway share the descriptors. Connections are divided between
    /// them while they run; each needs its own reserved ones.
    pub(super) fn shared_by(self, processes: usize) -> SocketLimits {
        if processes < 2 {
            return self;
        }
        let all = self.clients + self.backends + self.counter;
        let shared = all.saturating_sub((processes - 1) * RESERVED_DESCRIPTORS);
        // While one process uses all connections of a kind, the other may open an eighth of them.
        let divided = shared * MIN_KEPT_DIVISOR / (MIN_KEPT_DIVISOR + 1);
        SocketLimits { clients: divided.saturating_sub(self.backends + self.counter).max(1), ..self }
    }
}
