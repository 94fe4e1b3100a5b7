//! The state that a gateway keeps for an endpoint.

use super::concurrency_limit::INITIAL_LIMIT;
use super::reported_load::ReportedLoad;
use crate::decision::endpoint::EndpointStatus;
use crate::decision::ids::{CellId, LabelId, ZoneId};
use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// State of an endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointState {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) label: LabelId,
    /// Capacity relative to the other endpoints.
    pub(crate) weight: f64,
    /// Status in the endpoint list; `None` if the endpoint is no longer listed.
    pub(crate) status: Option<EndpointStatus>,
    /// Whether an operator took the endpoint out of service.
    pub(crate) in_maintenance: bool,
    /// Attempts of this gateway that count against the endpoint's concurrency limit.
    pub(crate) in_flight: f64,
    /// Smoothed time of a successful response, in microseconds.
    pub(crate) latency_us: f64,
    /// This gateway's limit on attempts in flight, before `limit_scale` is applied; see `concurrency_limit`.
    pub(crate) concurrency_limit: f64,
    /// Smoothed fraction of attempts that failed.
    pub(crate) failure_fraction: f64,
    /// End of the time without attempts, after an ejection or a rejected request.
    pub(crate) excluded_until: Micros,
    /// Number of times that the next ejection is doubled.
    pub(crate) ejection_doublings: u32,
    /// Whether the endpoint was ejected and has not succeeded since. It then gets one attempt at a time.
    pub(crate) on_trial: bool,
    pub(crate) unreachable_since: Option<Micros>,
    /// Start time of the endpoint, while it is in slow start.
    pub(crate) slow_start_since: Option<Micros>,
    /// Units that the endpoint may be sent in slow start.
    pub(crate) slow_start_allowance: TokenBucket,
    pub(crate) reported_load: Option<ReportedLoad>,
}

impl EndpointState {
    /// Returns the state of an endpoint of which nothing is known.
    pub(crate) fn unknown() -> EndpointState {
        EndpointState { concurrency_limit: INITIAL_LIMIT, ..EndpointState::default() }
    }

    /// Returns the state of a known endpoint whose process has just restarted. The old process's latency,
    /// failures and limit are dropped; the data from discovery, operators and attempts in flight stays.
    pub(crate) fn restarted(&self) -> EndpointState {
        EndpointState {
            zone: self.zone,
            cell: self.cell,
            label: self.label,
            weight: self.weight,
            status: self.status,
            in_maintenance: self.in_maintenance,
            in_flight: self.in_flight,
            ..EndpointState::unknown()
        }
    }

    /// Returns whether the endpoint takes new requests, according to the endpoint list and the operators.
    pub(crate) fn is_in_service(&self) -> bool {
        self.status == Some(EndpointStatus::InService) && !self.in_maintenance
    }

    /// Returns whether the endpoint gets no attempts for now.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.excluded_until
    }

    /// Returns whether the endpoint is neither ejected nor on trial with an attempt in flight.
    pub(crate) fn is_eligible(&self, now: Micros) -> bool {
        !self.is_ejected(now) && (!self.on_trial || self.in_flight < 1.0)
    }

    /// Returns whether the endpoint is in slow start.
    pub(crate) fn is_in_slow_start(&self) -> bool {
        self.slow_start_since.is_some()
    }

    /// Begins the slow start with an allowance in units.
    pub(crate) fn begin_slow_start(&mut self, since: Micros, now: Micros, allowance: f64) {
        self.slow_start_since = Some(since);
        self.slow_start_allowance =
            TokenBucket { level: allowance, capacity: 1.0, rate: 0.0, filled_at: now };
    }
}
