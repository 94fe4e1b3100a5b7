//! Discovery's list of endpoints, the servers behind the gateway, and the limits on its size.

use crate::decision::EndpointStatus;
use std::net::SocketAddr;

/// Limit on the endpoints of a deployment, as documented for operators.
pub const MAX_ENDPOINTS: usize = 3200;
/// During a rolling release the list temporarily contains the old and the new instance of each endpoint.
const MAX_ENTRIES_PER_ENDPOINT: usize = 2;
/// Limit on the size of an entry, in bytes: indented JSON with every field at its maximum length. An entry of a real
/// site takes about 230 bytes.
const MAX_ENTRY_BYTES: usize = 512;
/// Limit on the size of a list, in bytes: 3.3 MB. A complete list of the largest deployment, indented, takes 0.7 MB.
pub const MAX_LIST_BYTES: usize = MAX_ENDPOINTS * MAX_ENTRIES_PER_ENDPOINT * MAX_ENTRY_BYTES;

/// List of endpoints, complete or as changes since an earlier revision. The `wire` module has its JSON form.
#[derive(Debug, Clone, Default)]
pub struct EndpointList {
    /// Revision of the list, which increases with each change.
    pub revision: u64,
    /// Whether the list contains every endpoint rather than only those that changed.
    pub complete: bool,
    /// Entries of the list.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Endpoint as described by discovery.
#[derive(Debug, Clone)]
pub struct DiscoveredEndpoint {
    /// Name of the endpoint, the same at every gateway.
    pub name: String,
    /// Address of the endpoint, as reachable from this gateway.
    pub address: SocketAddr,
    /// Zone of the endpoint.
    pub zone: String,
    /// Release label of the endpoint.
    pub release_label: String,
    /// Cell of the endpoint.
    pub cell: u64,
    /// Whether the endpoint accepts requests.
    pub status: EndpointStatus,
    /// Capacity relative to the other endpoints.
    pub weight: f64,
    /// Time of the last start, Unix time in milliseconds; 0 if long ago or unknown.
    pub started_at_unix_ms: u64,
}
