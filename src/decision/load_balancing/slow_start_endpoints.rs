//! The set of endpoints in slow start.

use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;
use std::collections::BTreeSet;

/// The endpoints in slow start, and the state of the draw that decides which of them may be sent to.
#[derive(Debug, Default)]
pub(super) struct SlowStartEndpoints {
    /// A separate set, so that a request need not iterate over all endpoints.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// Time of the last refresh.
    pub(super) refreshed_at: Micros,
    /// Whether a random draw for each request decides which endpoints may be sent to, in place of allowances
    /// that accumulate.
    pub(super) by_random_draw: bool,
    /// Endpoints drawn for the last request.
    pub(super) drawn: Vec<EndpointId>,
}
