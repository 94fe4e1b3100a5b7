//! Descriptions of endpoints: entries of the endpoint list from discovery, and load reports of the endpoints.

use super::ids::{CellId, EndpointId, LabelId, ZoneId};
use super::time::Micros;
use serde::{Deserialize, Serialize};

/// Status of an endpoint in the endpoint list.
///
/// The names of the variants are part of the serialized hand-over state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// The endpoint takes new requests.
    InService,
    /// The endpoint finishes its requests and takes no new ones.
    Draining,
    /// The endpoint was removed from the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// Endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// Zone of the endpoint.
    pub zone: ZoneId,
    /// Cell of the endpoint.
    pub cell: CellId,
    /// Whether the endpoint takes new requests.
    pub status: EndpointStatus,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of the last start; `None`: so long ago that no slow start is needed.
    pub started_at: Option<Micros>,
    /// Release label of the endpoint.
    pub label: LabelId,
}

/// Scope of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// The event holds only entries that changed.
    Incremental,
    /// The event holds the complete list.
    Complete,
    /// The poll or the watch failed; the earlier list stays in force.
    Failed,
}

/// Number of listed endpoints, and how many of them are excluded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Listed endpoints of any status.
    pub known: usize,
    /// Listed endpoints that are in maintenance, draining or ejected.
    pub excluded: usize,
}

/// Load that an endpoint reported with a response. Figures that it did not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests being handled.
    pub in_flight: Option<f64>,
    /// Number of requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Fraction of the endpoint's cores in use.
    pub busy_fraction: Option<f64>,
}
