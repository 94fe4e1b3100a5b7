//! One backend, as the endpoint list has it now.

use std::cell::Cell;
use std::net::SocketAddr;

/// One backend.
#[derive(Debug)]
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it last started, as discovery says, in milliseconds of Unix time. A change means that old connections are dead.
    pub started_at_unix_ms: u64,
    /// Cleared when the list says that it is draining or removed.
    pub open: Cell<bool>,
}
