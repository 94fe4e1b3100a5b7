//! Applies discovery's endpoint list: names and addresses become endpoints of the decision module and backends of the
//! connection pool.

use super::Runtime;
use crate::decision::{CellId, EndpointId, EndpointStatus, EndpointUpdate, Event, Micros, WatchScope};
use crate::proxy::control_plane::discovery::{DiscoveredEndpoint, EndpointList};
use crate::proxy::upstream::backend::Backend;
use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use tracing::{debug, info};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// Start time of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointStart {
    /// Time reported by discovery, Unix time in milliseconds.
    unix_ms: u64,
    /// The same time on this gateway's clock.
    time: Micros,
}

impl Runtime {
    /// Applies an endpoint list from discovery, complete or incremental.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let EndpointList { revision, complete, endpoints } = list;
        self.list_revision = revision;
        if endpoints.is_empty() && !complete {
            return;
        }
        log_list(revision, complete, &endpoints);
        if complete {
            self.discovered_endpoints.clear();
        }
        let updates: Vec<EndpointUpdate> =
            endpoints.into_iter().map(|endpoint| self.apply_endpoint(endpoint)).collect();
        if complete {
            self.remove_unlisted(&updates);
        }
        self.report_accepting_backends();
        let scope = if complete { WatchScope::Complete } else { WatchScope::Incremental };
        self.pending_events.push(Event::EndpointsChanged { scope, endpoints: updates });
    }

    /// Applies one entry of an endpoint list.
    fn apply_endpoint(&mut self, entry: DiscoveredEndpoint) -> EndpointUpdate {
        let endpoint = self.site.endpoint_id(&entry.name);
        self.log_status_change(endpoint, &entry);
        let backend = Backend {
            address: entry.address,
            started_at_unix_ms: entry.started_at_unix_ms,
            accepts_requests: Cell::new(entry.status == EndpointStatus::InService),
        };
        self.close_previous_backend(endpoint, &backend);
        let update = EndpointUpdate {
            endpoint,
            zone: self.site.zone(&entry.zone),
            cell: CellId(entry.cell),
            status: entry.status,
            weight: entry.weight,
            started_at: self.started_at(endpoint, entry.started_at_unix_ms),
            label: self.site.label(&entry.release_label),
        };
        if entry.status == EndpointStatus::Removed {
            self.endpoint_starts.remove(&endpoint);
            self.backends.remove(&endpoint);
            self.discovered_endpoints.remove(&endpoint);
        } else {
            self.discovered_endpoints.insert(endpoint, entry);
            self.backends.insert(endpoint, Rc::new(backend));
        }
        update
    }

    /// Closes the idle connections to a backend that moved, restarted or is no longer in service, and prevents
    /// attempts that still wait for a connection to it from being sent.
    fn close_previous_backend(&self, endpoint: EndpointId, next: &Backend) {
        let Some(previous) = self.backends.get(&endpoint) else { return };
        let is_same =
            previous.address == next.address && previous.started_at_unix_ms == next.started_at_unix_ms;
        if !is_same || !next.accepts_requests.get() {
            self.pool.close_idle(previous.address);
            previous.accepts_requests.set(false);
        }
    }

    /// Removes the endpoints that are missing from a complete list.
    fn remove_unlisted(&mut self, updates: &[EndpointUpdate]) {
        let listed: HashSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        self.endpoint_starts.retain(|endpoint, _| listed.contains(endpoint));
        self.backends.retain(|endpoint, backend| {
            let is_listed = listed.contains(endpoint);
            if !is_listed {
                backend.accepts_requests.set(false);
                self.pool.close_idle(backend.address);
            }
            is_listed
        });
    }

    /// Where a write queue watches the uplink, reports the backends that may be dialled to detect that it is back.
    fn report_accepting_backends(&self) {
        if self.outcomes.records_reachability() {
            let accepting = self.backends.values().filter(|backend| backend.accepts_requests.get());
            self.outcomes.set_backends(accepting.map(|backend| backend.address).collect());
        }
    }

    /// Returns when an endpoint started, on this gateway's clock. The time is computed once per start, so that a step
    /// of the wall clock is not taken for a restart.
    fn started_at(&mut self, endpoint: EndpointId, unix_ms: u64) -> Option<Micros> {
        if unix_ms == 0 {
            return None;
        }
        let start = match self.endpoint_starts.get(&endpoint) {
            Some(start) if start.unix_ms == unix_ms => *start,
            _ => {
                let age = self.clock.elapsed_since_unix(Micros(unix_ms.saturating_mul(MICROS_PER_MILLI)));
                EndpointStart { unix_ms, time: self.clock.now() - age }
            }
        };
        self.endpoint_starts.insert(endpoint, start);
        Some(start.time)
    }

    /// Marks the endpoint list as known, so that the gateway may serve.
    pub(super) fn become_ready(&mut self) {
        self.ready_at = None;
        if self.lifecycle.mark_endpoints_known() {
            info!(backends = self.backends.len(), "ready");
        }
    }

    fn log_status_change(&self, endpoint: EndpointId, entry: &DiscoveredEndpoint) {
        let before = self.discovered_endpoints.get(&endpoint).map(|previous| previous.status);
        if before != Some(entry.status) {
            let status = entry.status;
            debug!(endpoint = entry.name, address = %entry.address, ?before, ?status, "endpoint status changed");
        }
    }
}

fn log_list(revision: u64, complete: bool, endpoints: &[DiscoveredEndpoint]) {
    let entries = endpoints.len();
    let draining = endpoints.iter().filter(|entry| entry.status == EndpointStatus::Draining).count();
    match complete {
        true => info!(revision, entries, draining, "complete endpoint list applied"),
        false => debug!(revision, entries, draining, "endpoint list changes applied"),
    }
}
