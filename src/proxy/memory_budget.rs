//! Memory budget shared by all connections.

use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::lifecycle::permits::Permits;
use tokio::sync::OwnedSemaphorePermit;

/// Fraction of the machine's memory for the buffers of all connections. What this and `MESSAGES_FRACTION` leave is for
/// the program and its state.
const BUFFERS_FRACTION: f64 = 0.375;
/// Fraction of the machine's memory for all buffered messages.
const MESSAGES_FRACTION: f64 = 0.1875;
/// Number of buffers that one transfer may use: one being read, one in transit, one to be written.
const BUFFERS_PER_CONNECTION: usize = 3;
/// Smallest buffer of a connection, in bytes: the minimum that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest buffer of a connection, in bytes: the longest head that may be received.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of buffered messages that one permit accounts for.
const PERMIT_BYTES: usize = 1024;

/// Memory for connection buffers and buffered messages.
pub struct MemoryBudget {
    messages: Permits,
    buffer_bytes: usize,
}

impl MemoryBudget {
    /// Returns the budget of a machine with this much memory, in millions of bytes, and these numbers of connections.
    pub fn new(megabytes: f64, sockets: SocketLimits) -> MemoryBudget {
        let bytes = megabytes.clamp(1.0, 1e6) * 1e6;
        let buffers = BUFFERS_PER_CONNECTION * (sockets.clients + sockets.backends);
        let buffer_bytes = (bytes * BUFFERS_FRACTION) as usize / buffers;
        let permits = (bytes * MESSAGES_FRACTION) as usize / PERMIT_BYTES;
        MemoryBudget {
            messages: Permits::new(permits),
            buffer_bytes: buffer_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES),
        }
    }

    /// Returns the largest size of a connection's buffer, in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Reserves memory for a buffered message of this many bytes. Returns `None` if there is not enough left.
    pub fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.messages.try_acquire_many(bytes.div_ceil(PERMIT_BYTES))
    }

    /// Reserves this many quarters of the message memory for the other process of this gateway.
    pub fn reserve_for_other_process(&self, quarters: usize) {
        self.messages.reserve_for_other_process(self.messages.total() * quarters / 4);
    }
}
