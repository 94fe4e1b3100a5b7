//! Changes of the endpoint list by discovery, and of maintenance by operators.

use super::timers::Timer;
use super::Gateway;
use crate::decision::endpoint::{EndpointUpdate, WatchScope};
use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;

/// Minimum delay before the gateway subscribes to the endpoint list again after a failure.
const MIN_RESUBSCRIBE_DELAY_US: u64 = 500_000;
/// Upper bound of the random time added to the delay, so that gateways do not all resubscribe at once.
const RESUBSCRIBE_JITTER_US: u64 = 500_000;

impl Gateway {
    pub(super) fn on_endpoints(&mut self, scope: WatchScope, updates: Vec<EndpointUpdate>) {
        if scope == WatchScope::Failed {
            let delay = MIN_RESUBSCRIBE_DELAY_US + self.rng.u64(0..RESUBSCRIBE_JITTER_US);
            self.set_timer(Timer::Resubscribe, Micros(delay));
            return;
        }
        self.balancer.apply_endpoint_list(&self.context, &mut self.rng, scope, updates);
        self.serve_queue();
    }

    /// Handles a change of maintenance. Repeated calls have no further effect.
    pub(super) fn on_maintenance(&mut self, endpoint: EndpointId, in_maintenance: bool) {
        if self.balancer.set_maintenance(endpoint, in_maintenance, self.context.now) {
            self.serve_queue();
        }
    }
}
