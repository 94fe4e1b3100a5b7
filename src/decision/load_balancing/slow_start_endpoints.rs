//! Which endpoints are in slow start.

use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;
use std::collections::BTreeSet;

/// The endpoints in slow start, and which of them may be sent to.
#[derive(Debug, Default)]
pub(super) struct SlowStartEndpoints {
    /// Kept apart, so that a request need not look at all endpoints for them.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// When all of them were looked at last.
    pub(super) refreshed_at: Micros,
    /// A lottery decides which of them may be sent to, in place of allowances that fill up.
    pub(super) by_lottery: bool,
    /// The endpoints that the last request's lottery drew.
    pub(super) drawn: Vec<EndpointId>,
}
