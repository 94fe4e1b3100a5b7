//! What discovery and operators say of the endpoints.

use super::timers::Timer;
use super::Gateway;
use crate::decision::endpoint::{EndpointUpdate, WatchScope};
use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;

/// After a failure the watch on the endpoint list is opened again after this time,
const LEAST_RESUBSCRIBE_PAUSE_US: u64 = 500_000;
/// and up to this much more, drawn so that gateways do not all come at once.
const RESUBSCRIBE_JITTER_US: u64 = 500_000;

impl Gateway {
    pub(super) fn on_endpoints(&mut self, scope: WatchScope, updates: Vec<EndpointUpdate>) {
        if scope == WatchScope::Failed {
            let pause = LEAST_RESUBSCRIBE_PAUSE_US + self.rng.u64(0..RESUBSCRIBE_JITTER_US);
            return self.set_timer(Timer::Resubscribe, Micros(pause));
        }
        self.balancer.list_changed(&self.context, &mut self.rng, scope, updates);
        self.serve_queue();
    }

    /// Calling twice is as good as once.
    pub(super) fn on_maintenance(&mut self, endpoint: EndpointId, in_maintenance: bool) {
        if self.balancer.maintenance_changed(endpoint, in_maintenance, self.context.now) {
            self.serve_queue();
        }
    }
}
