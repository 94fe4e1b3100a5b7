//! Slow start: an endpoint that has just started is sent less than the others, as in Envoy's and HAProxy's slow
//! start.
//!
//! Guards against overloading it: it is sent what a warm endpoint of its weight gets from this gateway, times the
//! fraction of its capacity that it has by now. Warm endpoints bear that load, and each gateway scales its own, so
//! the sum over all gateways stays in proportion.

use super::balancer::LoadBalancer;
use super::endpoint_state::EndpointState;
use crate::decision::context::Context;
use crate::decision::ids::EndpointId;
use crate::decision::settings::Settings;
use crate::decision::time::Micros;

/// All endpoints are looked at for slow start at most once in this time for each of them: at every tick up to some
/// hundreds, and seldom enough with thousands of endpoints that requests there cost no more.
const REFRESH_INTERVAL_PER_ENDPOINT: Micros = Micros(10);
/// An endpoint in slow start is sent this part of what would overload it, at the most.
const PART_OF_OVERLOAD: f64 = 0.5;
/// Where the warm endpoints are less than one in this many, by weight, the load is spread over all.
const LEAST_WARM_DIVISOR: f64 = 3.0;

/// The fraction of its capacity that an endpoint has at least, so long after its start.
fn capacity_fraction(settings: &Settings, since_start: Micros) -> f64 {
    let least = settings.slow_start_min_capacity;
    least + (1.0 - least) * (since_start.secs() / settings.slow_start_window.secs()).min(1.0)
}

/// How much of its capacity an endpoint in slow start may be sent.
fn bound_by_overload(settings: &Settings) -> f64 {
    (settings.overload_multiple * PART_OF_OVERLOAD).min(1.0)
}

impl LoadBalancer {
    /// Brings the endpoints in slow start to the present time, before an attempt; `is_new` says that it is the
    /// first of a request that has not waited.
    pub(super) fn update_slow_starts(&mut self, context: &Context, rng: &mut fastrand::Rng, is_new: bool) {
        if self.slow_start.endpoints.is_empty() {
            return;
        }
        let interval = REFRESH_INTERVAL_PER_ENDPOINT.times(self.endpoints.len() as f64);
        let due = context.now >= self.slow_start.refreshed_at + interval;
        if due {
            self.slow_start.refreshed_at = context.now;
            self.end_slow_starts(context);
        }
        if self.is_sparse(context) {
            if !self.slow_start.by_lottery {
                self.slow_start.by_lottery = true;
                self.empty_allowances();
            }
            return self.hold_lottery(context, rng, is_new);
        }
        self.slow_start.by_lottery = false;
        if due {
            self.fill_allowances(context);
        }
    }

    fn end_slow_starts(&mut self, context: &Context) {
        let window = context.settings.slow_start_window;
        let endpoints = &mut self.endpoints;
        self.slow_start.endpoints.retain(|id| {
            let Some(endpoint) = endpoints.get_mut(id) else { return false };
            endpoint.slow_start_since = endpoint.slow_start_since.filter(|at| context.now < *at + window);
            endpoint.is_in_slow_start()
        });
    }

    /// No endpoint in slow start may be sent to until the lottery draws it.
    fn empty_allowances(&mut self) {
        for id in &self.slow_start.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.slow_start_allowance.level = 0.0;
            }
        }
    }

    fn fill_allowances(&mut self, context: &Context) {
        let now = context.now;
        let units_per_weight = self.forward_rate.units_per_second(now) / self.weight_that_bears_load(now);
        let bound = bound_by_overload(&context.settings);
        for id in &self.slow_start.endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let Some(since) = endpoint.slow_start_since else { continue };
            let capacity = capacity_fraction(&context.settings, now - since);
            endpoint.slow_start_allowance.rate = units_per_weight * endpoint.weight * capacity * bound;
            endpoint.slow_start_allowance.fill(now);
        }
    }

    /// The weight of the warm endpoints, or of all where hardly any is warm.
    fn weight_that_bears_load(&self, now: Micros) -> f64 {
        let is_usable = |endpoint: &&EndpointState| endpoint.is_in_service() && !endpoint.is_ejected(now);
        let usable = self.endpoints.values().filter(is_usable);
        let warm: f64 = usable.filter(|endpoint| !endpoint.is_in_slow_start()).map(|e| e.weight).sum();
        let in_service = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
        let all: f64 = in_service.map(|endpoint| endpoint.weight).sum();
        if warm * LEAST_WARM_DIVISOR >= all {
            warm
        } else {
            all.max(1e-9)
        }
    }

    /// Where many gateways share an endpoint in slow start, each with too few requests to save up an allowance for
    /// one, a lottery decides once for each request: an endpoint of the own subset is drawn with its part of what
    /// that subset can do now, or could do warm where hardly any of it is warm. Nothing is saved up and no rate
    /// need be known, so the sum over all gateways stays in proportion, also when all have just started.
    fn hold_lottery(&mut self, context: &Context, rng: &mut fastrand::Rng, is_new: bool) {
        for id in std::mem::take(&mut self.slow_start.drawn) {
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.slow_start_allowance.level = 0.0;
            }
        }
        let (now, settings) = (context.now, &context.settings);
        let subset: Vec<EndpointId> = self.own_subset_first(context).take(self.subset_size(now)).collect();
        let capacity = self.subset_capacity(context, &subset);
        let is_warming = |id: &EndpointId| self.slow_start.endpoints.contains(id);
        let mut warming: Vec<EndpointId> = subset.into_iter().filter(is_warming).collect();
        // Drawn in an order that does not depend on whose subset it is.
        warming.sort_unstable();
        for id in warming {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let Some(since) = endpoint.slow_start_since else { continue };
            let fraction = capacity_fraction(settings, now - since);
            let chance = endpoint.weight * fraction * bound_by_overload(settings);
            let is_drawn = is_new && rng.f64() * capacity < chance;
            endpoint.slow_start_allowance.level = if is_drawn { settings.max_request_units } else { 0.0 };
            if is_drawn {
                self.slow_start.drawn.push(id);
            }
        }
    }

    /// What these endpoints can do now, by weight, or could do warm where hardly any of it is warm.
    fn subset_capacity(&self, context: &Context, subset: &[EndpointId]) -> f64 {
        let now = context.now;
        let (mut warm, mut present, mut all) = (0.0, 0.0, 0.0);
        let endpoints = subset.iter().map(|id| &self.endpoints[id]);
        for endpoint in endpoints.filter(|endpoint| !endpoint.is_ejected(now)) {
            let since = endpoint.slow_start_since;
            let fraction = since.map_or(1.0, |at| capacity_fraction(&context.settings, now - at));
            all += endpoint.weight;
            present += endpoint.weight * fraction;
            warm += if endpoint.is_in_slow_start() { 0.0 } else { endpoint.weight };
        }
        if warm * LEAST_WARM_DIVISOR >= all {
            present
        } else {
            all
        }
    }
}
