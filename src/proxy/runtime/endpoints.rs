//! The endpoint list: discovery's names and addresses become the decision module's endpoints and the pool's backends.

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

/// A start of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointStart {
    /// As discovery reports it, Unix time in milliseconds.
    unix_ms: u64,
    /// On this gateway's clock.
    at: Micros,
}

impl Runtime {
    /// Applies a list from discovery, complete or as changes.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        let EndpointList { revision, complete, endpoints } = list;
        self.list_revision = revision;
        if endpoints.is_empty() && !complete {
            return;
        }
        log_list(revision, complete, &endpoints);
        if complete {
            self.listed.clear();
        }
        let updates: Vec<EndpointUpdate> =
            endpoints.into_iter().map(|endpoint| self.apply_endpoint(endpoint)).collect();
        if complete {
            self.retain_listed(&updates);
        }
        self.report_open_backends();
        let scope = if complete { WatchScope::Complete } else { WatchScope::Incremental };
        self.pending_events.push(Event::EndpointsChanged { scope, endpoints: updates });
    }

    /// Applies one entry of a list.
    fn apply_endpoint(&mut self, entry: DiscoveredEndpoint) -> EndpointUpdate {
        let endpoint = self.site.endpoint_id(&entry.name);
        self.log_change(endpoint, &entry);
        let backend = Backend {
            address: entry.address,
            up_since_ms: entry.started_at_unix_ms,
            open: Cell::new(entry.status == EndpointStatus::InService),
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
            self.starts.remove(&endpoint);
            self.backends.remove(&endpoint);
            self.listed.remove(&endpoint);
        } else {
            self.listed.insert(endpoint, entry);
            self.backends.insert(endpoint, Rc::new(backend));
        }
        update
    }

    /// Guards against old connections to a backend that moved, restarted or will end soon, and against attempts that
    /// still wait for one.
    fn close_previous_backend(&self, endpoint: EndpointId, next: &Backend) {
        let Some(previous) = self.backends.get(&endpoint) else { return };
        let is_same = previous.address == next.address && previous.up_since_ms == next.up_since_ms;
        if !is_same || !next.open.get() {
            self.pool.forget(previous.address);
            previous.open.set(false);
        }
    }

    /// Forgets the endpoints that a complete list does not name.
    fn retain_listed(&mut self, updates: &[EndpointUpdate]) {
        let listed: HashSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        self.starts.retain(|endpoint, _| listed.contains(endpoint));
        self.backends.retain(|endpoint, backend| {
            let stays = listed.contains(endpoint);
            if !stays {
                backend.open.set(false);
                self.pool.forget(backend.address);
            }
            stays
        });
    }

    /// Reports which backends may be dialled to see whether the uplink is back, where a write queue watches that.
    fn report_open_backends(&self) {
        if self.outcomes.records_reachability() {
            let open = self.backends.values().filter(|backend| backend.open.get());
            self.outcomes.set_backends(open.map(|backend| backend.address).collect());
        }
    }

    /// When an endpoint started, on this gateway's clock: reckoned once for each start, so that a step of the wall clock
    /// makes no new start of it.
    fn started_at(&mut self, endpoint: EndpointId, unix_ms: u64) -> Option<Micros> {
        if unix_ms == 0 {
            return None;
        }
        let start = match self.starts.get(&endpoint) {
            Some(start) if start.unix_ms == unix_ms => *start,
            _ => {
                let age = self.clock.age_of(Micros(unix_ms.saturating_mul(MICROS_PER_MILLI)));
                EndpointStart { unix_ms, at: self.clock.now() - age }
            }
        };
        self.starts.insert(endpoint, start);
        Some(start.at)
    }

    /// The endpoint list is known: the gateway may serve.
    pub(super) fn become_ready(&mut self) {
        self.ready_at = None;
        if self.lifecycle.mark_endpoints_known() {
            info!(backends = self.backends.len(), "ready");
        }
    }

    fn log_change(&self, endpoint: EndpointId, entry: &DiscoveredEndpoint) {
        let before = self.listed.get(&endpoint).map(|listed| listed.status);
        if before != Some(entry.status) {
            let status = entry.status;
            debug!(endpoint = entry.name, address = %entry.address, ?before, ?status, "endpoint changes");
        }
    }
}

fn log_list(revision: u64, complete: bool, endpoints: &[DiscoveredEndpoint]) {
    let entries = endpoints.len();
    let draining = endpoints.iter().filter(|entry| entry.status == EndpointStatus::Draining).count();
    match complete {
        true => info!(revision, entries, draining, "complete endpoint list"),
        false => debug!(revision, entries, draining, "changes of the endpoint list"),
    }
}
