//! Discovery's list of endpoints (the servers behind the gateway), and the bounds on its size.

use crate::decision::EndpointStatus;
use std::net::SocketAddr;

/// The most endpoints of a deployment, from the operators' page.
pub const MAX_ENDPOINTS: usize = 3200;
/// During a rolling release the list holds both the old and the new instance of each endpoint for a while.
const MAX_ENTRIES_PER_ENDPOINT: usize = 2;
/// The longest entry, in bytes: indented, with every field at its longest. One of the operators' sites takes about 230.
const MAX_ENTRY_BYTES: usize = 512;
/// The longest list, in bytes: 3.3 MB. A complete list of the largest deployment, indented, takes 0.7 MB.
pub const MAX_LIST_BYTES: usize = MAX_ENDPOINTS * MAX_ENTRIES_PER_ENDPOINT * MAX_ENTRY_BYTES;

/// The list of endpoints, complete or as the changes since an earlier revision. `wire` reads and writes it.
#[derive(Debug, Clone, Default)]
pub struct EndpointList {
    /// The list's revision; it rises with each change.
    pub revision: u64,
    /// It holds every endpoint, not just those that changed.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// One endpoint, as discovery describes it.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// Its name, the same at every gateway.
    pub name: String,
    /// Where it listens, as seen from this gateway.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its release label.
    pub release_label: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Its size against the others.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_at_unix_ms: u64,
}
