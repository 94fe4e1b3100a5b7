//! One budget of memory over all connections.

use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::lifecycle::permits::Permits;
use tokio::sync::OwnedSemaphorePermit;

/// The part of the machine's memory that buffers of connections may take in all. What neither this nor
/// `MESSAGES_FRACTION` takes is for the program and its state.
const BUFFERS_FRACTION: f64 = 0.375;
/// The part that buffered messages may take in all.
const MESSAGES_FRACTION: f64 = 0.1875;
/// A transfer holds up to three buffers: read, in transit, to be written.
const BUFFERS_PER_CONNECTION: usize = 3;
/// The shortest buffer of a connection, in bytes, as hyper requires.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The longest buffer of a connection, in bytes: as long as a head may be.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Messages are accounted for in units of this many bytes.
const PERMIT_BYTES: usize = 1024;

/// The budget.
pub struct MemoryBudget {
    messages: Permits,
    buffer_bytes: usize,
}

impl MemoryBudget {
    /// What a machine with so much memory, in millions of bytes, has for so many connections.
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

    /// How long a connection's buffer may grow, in bytes.
    pub fn buffer(&self) -> usize {
        self.buffer_bytes
    }

    /// Reserves memory for a buffered message of so many bytes. None: there is not enough left.
    pub fn hold(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.messages.try_acquire_many(bytes.div_ceil(PERMIT_BYTES))
    }

    /// Leaves so many quarters to the other process of this gateway.
    pub fn leave(&self, quarters: usize) {
        self.messages.reserve_for_other_process(self.messages.total() * quarters / 4);
    }
}
