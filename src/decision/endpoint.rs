//! Endpoints as discovery and they themselves describe them.

use super::ids::{CellId, EndpointId, LabelId, ZoneId};
use super::time::Micros;
use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work, by the endpoint list.
///
/// A wire form: the names of the variants travel in the hand-over state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// It takes new work.
    InService,
    /// It only finishes what it has.
    Draining,
    /// It was removed.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes new work.
    pub status: EndpointStatus,
    /// Its capacity relative to the others.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
    /// Its release label.
    pub label: LabelId,
}

/// What an endpoint list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchScope {
    /// Only entries that changed.
    Incremental,
    /// The complete list.
    Complete,
    /// The poll or the watch failed; the earlier list stays.
    Failed,
}

/// How many endpoints are listed, and how many of them are excluded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Listed, whatever their status.
    pub known: usize,
    /// In maintenance, draining or ejected.
    pub excluded: usize,
}

/// The load that an endpoint reported with a response, as far as it did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being handled.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Fraction of its cores in use.
    pub busy_fraction: Option<f64>,
}
