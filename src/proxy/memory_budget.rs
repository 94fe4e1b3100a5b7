//! One budget of memory over all connections.

use crate::proxy::control_plane::config::socket_limits::SocketLimits;
use crate::proxy::lifecycle::permits::Permits;
use tokio::sync::OwnedSemaphorePermit;

/// Of the machine's memory, what buffers of connections may take in all, and what messages that are kept whole
/// may; the rest is for the program and what it remembers.
const BUFFERS: f64 = 0.375;
const WHOLE: f64 = 0.1875;
/// A connection's buffer is at least so long, as the protocol machine wants, and at the most as long as a head
/// may be.
const LEAST_BUFFER: usize = 8 * 1024;
const MOST_BUFFER: usize = 32 * 1024;
/// Messages are counted in pieces of this many bytes.
const PIECE: usize = 1024;

/// The budget.
pub struct MemoryBudget {
    whole: Permits,
    buffer: usize,
}

impl MemoryBudget {
    /// What a machine with so much memory has for so many connections.
    pub fn new(megabytes: f64, sockets: SocketLimits) -> MemoryBudget {
        let bytes = megabytes.clamp(1.0, 1e6) * 1e6;
        // A transfer holds up to three buffers: read, on the way, to be written.
        let buffers = 3 * (sockets.clients + sockets.backends);
        let buffer = ((bytes * BUFFERS) as usize / buffers).clamp(LEAST_BUFFER, MOST_BUFFER);
        MemoryBudget { whole: Permits::new((bytes * WHOLE) as usize / PIECE), buffer }
    }

    /// How long a connection's buffer may grow.
    pub fn buffer(&self) -> usize {
        self.buffer
    }

    /// Room to keep a message of so many bytes whole, if there is any.
    pub fn hold(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        self.whole.try_acquire_many(bytes.div_ceil(PIECE))
    }

    /// Leaves so many quarters to the other process of this gateway.
    pub fn leave(&self, quarters: usize) {
        self.whole.reserve_for_other_process(self.whole.total() * quarters / 4);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_kept_whole_stays_within_its_part() {
        let sockets = SocketLimits { clients: 64, backends: 32, counter: 4 };
        let memory = MemoryBudget::new(16.0, sockets);
        let held: Vec<_> = std::iter::from_fn(|| memory.hold(64 * 1024)).collect();
        assert!((30..=47).contains(&held.len()), "{}", held.len());
        drop(held);
        assert!(memory.hold(64 * 1024).is_some());
        let buffers = 3 * memory.buffer() * (sockets.clients + sockets.backends);
        assert!(buffers <= 8_000_000, "{buffers}");
    }
}
