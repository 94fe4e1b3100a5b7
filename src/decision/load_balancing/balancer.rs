//! The endpoints, with the state from discovery, operators and attempts.

use super::concurrency_limit;
use super::endpoint_state::EndpointState;
use super::forward_rate::ForwardRate;
use super::reported_load::AverageLoad;
use super::slow_start_endpoints::SlowStartEndpoints;
use super::subsetting;
use crate::decision::context::Context;
use crate::decision::endpoint::{EndpointCounts, EndpointStatus, EndpointUpdate, WatchScope};
use crate::decision::ids::EndpointId;
use crate::decision::time::Micros;
use std::collections::BTreeMap;

/// Averages over all endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointAverages {
    /// Smoothed time of a successful response, in microseconds.
    pub(crate) latency_us: f64,
    /// Smoothed fraction of attempts that failed or missed the latency objective.
    pub(crate) failure_fraction: f64,
}

/// The endpoints and the state that selection needs.
#[derive(Debug, Default)]
pub(crate) struct LoadBalancer {
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointState>,
    /// Endpoints in service, sorted.
    pub(super) in_service: Vec<EndpointId>,
    /// Attempts at all endpoints that count against a concurrency limit.
    pub(super) in_flight: f64,
    pub(crate) forward_rate: ForwardRate,
    pub(crate) averages: EndpointAverages,
    pub(super) average_load: AverageLoad,
    pub(super) slow_start: SlowStartEndpoints,
}

impl LoadBalancer {
    /// Applies a complete or incremental endpoint list. Restarted endpoints begin their slow start with a
    /// random negative allowance, so that gateways do not all send to them at once.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        context: &Context,
        rng: &mut fastrand::Rng,
        scope: WatchScope,
        updates: Vec<EndpointUpdate>,
    ) {
        if scope == WatchScope::Complete {
            self.endpoints.values_mut().for_each(|endpoint| endpoint.status = None);
        }
        let changed: Vec<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        for update in &updates {
            self.update_endpoint(context, rng, update);
        }
        match scope {
            WatchScope::Incremental => self.update_in_service(&changed),
            WatchScope::Complete | WatchScope::Failed => self.rebuild_in_service(),
        }
    }

    fn update_endpoint(&mut self, context: &Context, rng: &mut fastrand::Rng, update: &EndpointUpdate) {
        let (now, settings) = (context.now, &context.settings);
        let endpoint = self.endpoints.entry(update.endpoint).or_insert_with(EndpointState::unknown);
        let warming_since = update.started_at.filter(|&at| now < at + settings.slow_start_window);
        if let Some(since) = warming_since {
            if endpoint.slow_start_since.is_none_or(|known| known < since) {
                let allowance = -settings.max_request_units * (1.0 + rng.f64());
                *endpoint = endpoint.restarted();
                endpoint.begin_slow_start(since, now, allowance);
            }
            // The start time in the list takes precedence over a known one, even if it is earlier.
            endpoint.slow_start_since = Some(since);
        }
        if endpoint.is_in_slow_start() {
            self.slow_start.endpoints.insert(update.endpoint);
        }
        endpoint.zone = update.zone;
        endpoint.cell = update.cell;
        endpoint.label = update.label;
        endpoint.weight = if update.weight > 0.0 { update.weight } else { 1.0 };
        endpoint.status = Some(update.status).filter(|status| *status != EndpointStatus::Removed);
    }

    /// Applies an operator's change of an endpoint's maintenance, and returns whether it changed anything.
    /// Maintenance takes precedence over the list: in maintenance, the endpoint counts as draining. An
    /// endpoint that returns from maintenance may have restarted meanwhile, so it begins a slow start. An endpoint may be in
    /// maintenance before it is listed.
    pub(crate) fn set_maintenance(&mut self, id: EndpointId, in_maintenance: bool, now: Micros) -> bool {
        if in_maintenance {
            self.endpoints.entry(id).or_insert_with(EndpointState::unknown);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return false };
        if endpoint.in_maintenance == in_maintenance {
            return false;
        }
        endpoint.in_maintenance = in_maintenance;
        if !in_maintenance {
            *endpoint = endpoint.restarted();
            endpoint.begin_slow_start(now, now, 0.0);
            self.slow_start.endpoints.insert(id);
        }
        self.rebuild_in_service();
        true
    }

    /// Updates the sorted list only at the positions of these endpoints, so that a small change is cheap
    /// where there are many endpoints.
    fn update_in_service(&mut self, changed: &[EndpointId]) {
        for id in changed {
            let is_in_service = self.endpoints.get(id).is_some_and(EndpointState::is_in_service);
            match (self.in_service.binary_search(id), is_in_service) {
                (Err(index), true) => self.in_service.insert(index, *id),
                (Ok(index), false) => drop(self.in_service.remove(index)),
                _ => {}
            }
        }
    }

    fn rebuild_in_service(&mut self) {
        let in_service = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_in_service());
        self.in_service = in_service.map(|(&id, _)| id).collect();
    }

    /// Continues with the endpoint state of another process of this gateway. This process's list decides
    /// which endpoints are in service. If the list has a later start of an endpoint, the other process's
    /// state of it is not used.
    pub(crate) fn take_over(&mut self, endpoints: Vec<(EndpointId, EndpointState)>) {
        for (id, handed_over) in endpoints {
            let own = self.endpoints.entry(id).or_default();
            if own.slow_start_since > handed_over.slow_start_since {
                own.in_maintenance = handed_over.in_maintenance;
                continue;
            }
            *own = EndpointState {
                zone: own.zone,
                cell: own.cell,
                label: own.label,
                weight: own.weight,
                status: own.status,
                in_flight: own.in_flight,
                ..handed_over
            };
            if own.is_in_slow_start() {
                self.slow_start.endpoints.insert(id);
            }
        }
        self.slow_start.by_random_draw = false;
        self.rebuild_in_service();
    }

    /// Returns the number of listed endpoints, and how many of them are excluded.
    pub(crate) fn counts(&self, now: Micros) -> EndpointCounts {
        let listed = || self.endpoints.values().filter(|endpoint| endpoint.status.is_some());
        let excluded = listed().filter(|endpoint| !endpoint.is_in_service() || endpoint.is_ejected(now));
        EndpointCounts { known: listed().count(), excluded: excluded.count() }
    }

    /// Records an attempt that is sent.
    pub(crate) fn attempt_sent(&mut self, id: EndpointId, units: f64, now: Micros) {
        self.forward_rate.record(now, units);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.slow_start_allowance.level -= units;
        }
    }

    /// Counts an attempt against its endpoint's concurrency limit.
    pub(crate) fn acquire_permit(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.in_flight += 1.0;
        }
        self.in_flight += 1.0;
    }

    /// Stops counting an attempt against its endpoint's concurrency limit.
    pub(super) fn release_permit(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
        }
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    /// Returns the number of endpoints in this gateway's subset.
    pub(super) fn subset_size(&self, now: Micros) -> usize {
        subsetting::subset_size(self.in_service.len(), self.forward_rate.units_per_second(now))
    }

    /// Returns all endpoints in service, this gateway's subset first.
    pub(super) fn own_subset_first(&self, context: &Context) -> impl Iterator<Item = EndpointId> + '_ {
        subsetting::own_subset_first(&self.in_service, context.settings.gateway_number)
    }

    /// Returns the factor that scales every concurrency limit to this process's share.
    pub(super) fn limit_scale(&self, context: &Context) -> f64 {
        let gateways = f64::from(context.settings.gateways);
        let sharing = gateways * self.subset_size(context.now) as f64 / self.in_service.len().max(1) as f64;
        concurrency_limit::limit_scale(sharing, context.role)
    }

    /// Returns whether so many gateways share the endpoints that concurrency limits start below one attempt
    /// and bound little.
    pub(crate) fn limits_start_below_one(&self, context: &Context) -> bool {
        concurrency_limit::initial_limit_below_one(self.limit_scale(context))
    }
}
