//! The queue of requests that wait for an endpoint with capacity.

use crate::decision::ids::RequestId;

/// Queued requests, and whether their timer is set.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    /// Queued requests, in the order in which they were queued or last tried.
    pub(super) waiting: Vec<RequestId>,
    /// Whether the timer that serves the queue is set.
    pub(super) is_timer_set: bool,
}

impl RequestQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
