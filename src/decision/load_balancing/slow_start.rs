//! Slow start: an endpoint that has just started is sent less than the others, as in Envoy's and HAProxy's
//! slow start.
//!
//! Guards against overloading it. The endpoint is sent what a warm endpoint of its weight gets from this
//! gateway, times the fraction of its capacity that it has so far. Warm endpoints can handle that load and
//! each gateway scales its own load, so the sum over all gateways stays in proportion.

use super::balancer::LoadBalancer;
use super::endpoint_state::EndpointState;
use crate::decision::context::Context;
use crate::decision::ids::EndpointId;
use crate::decision::settings::Settings;
use crate::decision::time::Micros;

/// Minimum interval between refreshes of the endpoints in slow start, multiplied by the number of all
/// endpoints. With some hundreds of endpoints this refreshes at every tick; with thousands it is rare enough
/// that requests there cost no more.
const REFRESH_INTERVAL_PER_ENDPOINT: Micros = Micros(10);
/// Fraction of the overload threshold that an endpoint in slow start is sent at most.
const MAX_FRACTION_OF_OVERLOAD: f64 = 0.5;
/// If less than one part in this many of the total weight is warm, the load is spread over all endpoints.
const MIN_WARM_DIVISOR: f64 = 3.0;

/// Returns the minimum fraction of its capacity that an endpoint has at this time after its start.
fn capacity_fraction(settings: &Settings, since_start: Micros) -> f64 {
    let min_capacity = settings.slow_start_min_capacity;
    min_capacity + (1.0 - min_capacity) * (since_start.secs() / settings.slow_start_window.secs()).min(1.0)
}

/// Returns the fraction of its current capacity that an endpoint in slow start may be sent.
fn max_fraction_of_capacity(settings: &Settings) -> f64 {
    (settings.overload_multiple * MAX_FRACTION_OF_OVERLOAD).min(1.0)
}

impl LoadBalancer {
    /// Updates the endpoints in slow start before an attempt. `is_new` says that the attempt is the first of
    /// a request that has not waited.
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
        if self.limits_start_below_one(context) {
            if !self.slow_start.by_random_draw {
                self.slow_start.by_random_draw = true;
                self.empty_allowances();
            }
            return self.draw_slow_start_endpoints(context, rng, is_new);
        }
        self.slow_start.by_random_draw = false;
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

    /// Clears the allowances, so that no endpoint in slow start is sent to until it is drawn.
    fn empty_allowances(&mut self) {
        for id in &self.slow_start.endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.slow_start_allowance.level = 0.0;
            }
        }
    }

    fn fill_allowances(&mut self, context: &Context) {
        let now = context.now;
        let units_per_weight = self.forward_rate.units_per_second(now) / self.load_bearing_weight(now);
        let bound = max_fraction_of_capacity(&context.settings);
        for id in &self.slow_start.endpoints {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let Some(since) = endpoint.slow_start_since else { continue };
            let capacity = capacity_fraction(&context.settings, now - since);
            endpoint.slow_start_allowance.rate = units_per_weight * endpoint.weight * capacity * bound;
            endpoint.slow_start_allowance.fill(now);
        }
    }

    /// Returns the weight of the warm endpoints, or of all endpoints if too few are warm.
    fn load_bearing_weight(&self, now: Micros) -> f64 {
        let is_usable = |endpoint: &&EndpointState| endpoint.is_in_service() && !endpoint.is_ejected(now);
        let usable = self.endpoints.values().filter(is_usable);
        let warm: f64 =
            usable.filter(|endpoint| !endpoint.is_in_slow_start()).map(|endpoint| endpoint.weight).sum();
        let in_service = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
        let all: f64 = in_service.map(|endpoint| endpoint.weight).sum();
        if warm * MIN_WARM_DIVISOR >= all {
            warm
        } else {
            all.max(1e-9)
        }
    }

    /// Draws the endpoints in slow start that the attempt may be sent to, once for each request. Used where
    /// many gateways share an endpoint in slow start and each has too few requests to accumulate an
    /// allowance. An endpoint of the subset is drawn with a probability equal to its permitted part of the
    /// subset's current capacity, or of the subset's full capacity if too few of its endpoints are warm. No
    /// allowance accumulates and no rate needs to be known, so the sum over all gateways stays in proportion,
    /// even if all endpoints have just started.
    fn draw_slow_start_endpoints(&mut self, context: &Context, rng: &mut fastrand::Rng, is_new: bool) {
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
        // The order of the draws does not depend on the gateway whose subset it is.
        warming.sort_unstable();
        for id in warming {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let Some(since) = endpoint.slow_start_since else { continue };
            let fraction = capacity_fraction(settings, now - since);
            let drawable_capacity = endpoint.weight * fraction * max_fraction_of_capacity(settings);
            let is_drawn = is_new && rng.f64() * capacity < drawable_capacity;
            endpoint.slow_start_allowance.level = if is_drawn { settings.max_request_units } else { 0.0 };
            if is_drawn {
                self.slow_start.drawn.push(id);
            }
        }
    }

    /// Returns the current capacity of these endpoints by weight, or their full capacity if too few of them
    /// are warm.
    fn subset_capacity(&self, context: &Context, subset: &[EndpointId]) -> f64 {
        let now = context.now;
        let (mut warm, mut current, mut all) = (0.0, 0.0, 0.0);
        let endpoints = subset.iter().map(|id| &self.endpoints[id]);
        for endpoint in endpoints.filter(|endpoint| !endpoint.is_ejected(now)) {
            let since = endpoint.slow_start_since;
            let fraction = since.map_or(1.0, |at| capacity_fraction(&context.settings, now - at));
            all += endpoint.weight;
            current += endpoint.weight * fraction;
            warm += if endpoint.is_in_slow_start() { 0.0 } else { endpoint.weight };
        }
        if warm * MIN_WARM_DIVISOR >= all {
            current
        } else {
            all
        }
    }
}
