//! The memory budget for buffers and buffered messages.

use quota_gateway::proxy::control_plane::config::SocketLimits;
use quota_gateway::proxy::memory_budget::{MemoryBudget, MemoryOwner};

#[test]
fn buffered_messages_stay_within_their_share_of_the_memory() {
    let sockets = SocketLimits { clients: 64, backends: 32, counter: 4 };
    let memory = MemoryBudget::new(16.0, 1, sockets);
    let reservations: Vec<_> =
        std::iter::from_fn(|| memory.reserve(MemoryOwner::Response, 64 * 1024)).collect();
    assert!((30..=47).contains(&reservations.len()), "{}", reservations.len());
    drop(reservations);
    assert!(memory.reserve(MemoryOwner::Response, 64 * 1024).is_some());
    let buffers = 3 * memory.buffer_bytes() * (sockets.clients + sockets.backends);
    assert!(buffers <= 8_000_000, "{buffers}");
}
