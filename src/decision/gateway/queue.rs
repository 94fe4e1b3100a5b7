//! Queueing of requests until an endpoint has capacity.

use super::timers::Timer;
use super::Gateway;
use crate::decision::action::RejectionReason;
use crate::decision::ids::RequestId;
use crate::decision::request::Request;
use crate::decision::time::Micros;
use std::cmp::Reverse;

/// Maximum time in the queue, as a fraction of the latency objective.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.3;
/// Interval at which queued requests are tried again.
const SERVE_INTERVAL: Micros = Micros(10_000);
/// Priority weights are compared in steps of one divided by this.
const WEIGHT_RESOLUTION: f64 = 1e6;

impl Gateway {
    /// Queues a request unless it is already queued.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let is_not_queued = |request: &&mut Request| request.queued_since.is_none();
        if let Some(request) = self.requests.get_mut(&id).filter(is_not_queued) {
            request.queued_since = Some(self.context.now);
            self.queue.waiting.push(id);
        }
        self.ensure_queue_timer();
    }

    fn ensure_queue_timer(&mut self) {
        if !self.queue.is_empty() && !self.queue.is_timer_set {
            self.queue.is_timer_set = true;
            self.set_timer(Timer::ServeQueue, SERVE_INTERVAL);
        }
    }

    /// Sends the queued requests for which an endpoint has capacity, and rejects those queued too long. Under overload
    /// the requests with the least priority weight wait longest and are rejected first.
    pub(super) fn serve_queue(&mut self) {
        let mut waiting = std::mem::take(&mut self.queue.waiting);
        waiting.retain(|id| {
            self.requests.get(id).is_some_and(|request| !request.finished && request.queued_since.is_some())
        });
        waiting.sort_by_key(|id| {
            let weight = self.requests[id].priority_weight(&self.context.settings);
            (Reverse((weight * WEIGHT_RESOLUTION) as u64), *id)
        });
        for id in waiting {
            let is_overdue = self.has_waited_too_long(id);
            if let Some(endpoint) = self.select_endpoint(id) {
                self.send(id, endpoint);
            } else if is_overdue {
                self.reject(id, RejectionReason::NoEndpoint);
            } else {
                self.queue.waiting.push(id);
            }
        }
        self.ensure_queue_timer();
    }

    fn has_waited_too_long(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let objective = request.class(&self.context.settings).latency_objective;
        let longest = objective.times(MAX_QUEUE_TIME_FRACTION);
        request.queued_since.is_some_and(|since| self.context.now >= since + longest)
    }
}
