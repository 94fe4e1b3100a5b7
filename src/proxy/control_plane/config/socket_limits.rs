//! How the process's descriptors are shared out between kinds of connections, so that none can starve another.

/// The most operators that are served at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// Descriptors for all but clients, backends and the counter: standard streams, listeners, epoll, signals, calls to
/// discovery, the client that waits for a permit, and operators.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_OPERATOR_CONNECTIONS;
/// The counter gets one descriptor of so many.
const DESCRIPTORS_PER_COUNTER_CONNECTION: usize = 32;
/// The counter resets further connections.
const MAX_COUNTER_CONNECTIONS: usize = 32;
/// Backends get one descriptor of so many.
const DESCRIPTORS_PER_BACKEND_CONNECTION: usize = 4;

/// The most connections of each kind.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub backends: usize,
    /// To the counter.
    pub counter: usize,
}

impl SocketLimits {
    /// Shares out so many descriptors.
    pub(super) fn of(descriptors: usize) -> SocketLimits {
        let counter = (descriptors / DESCRIPTORS_PER_COUNTER_CONNECTION).clamp(1, MAX_COUNTER_CONNECTIONS);
        let backends = (descriptors / DESCRIPTORS_PER_BACKEND_CONNECTION).max(1);
        // Clients have all that is left: beside theirs, up to a third, stand those of peers that send nothing, each
        // until its time is up or descriptors are short.
        let clients = descriptors.saturating_sub(backends + counter + RESERVED_DESCRIPTORS).max(1);
        SocketLimits { clients, backends, counter }
    }
}
