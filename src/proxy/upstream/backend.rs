//! State of one backend, from the latest endpoint list.

use std::cell::Cell;
use std::net::SocketAddr;

/// One backend.
#[derive(Debug)]
pub struct Backend {
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// When the backend last started, as reported by discovery, in milliseconds of Unix time. After a change,
    /// connections opened before it are no longer valid.
    pub started_at_unix_ms: u64,
    /// Cleared when the endpoint list removes the backend, replaces it or marks it as draining.
    pub accepts_requests: Cell<bool>,
}
