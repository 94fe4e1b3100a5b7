//! The requests that wait for an endpoint with capacity.

use crate::decision::ids::RequestId;

/// The queued requests.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    /// In the order in which they were queued or last tried.
    pub(super) waiting: Vec<RequestId>,
    /// The timer that serves the queue is set.
    pub(super) is_timer_set: bool,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
