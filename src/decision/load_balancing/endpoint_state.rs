//! What a gateway remembers of an endpoint.

use super::concurrency_limit::INITIAL_LIMIT;
use super::reported_load::ReportedLoad;
use crate::decision::endpoint::EndpointStatus;
use crate::decision::ids::{CellId, LabelId, ZoneId};
use crate::decision::time::Micros;
use crate::decision::token_bucket::TokenBucket;

/// An endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointState {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) label: LabelId,
    /// Its capacity relative to the others.
    pub(crate) weight: f64,
    /// Its status by the endpoint list; `None`: it is not listed any more.
    pub(crate) status: Option<EndpointStatus>,
    /// An operator took it out of service.
    pub(crate) in_maintenance: bool,
    /// Attempts of this gateway that count against its concurrency limit.
    pub(crate) in_flight: f64,
    /// Smoothed time of a successful response, in microseconds.
    pub(crate) latency_us: f64,
    /// This gateway's limit on attempts in flight, before `part_of_limits` scales it; see `concurrency_limit`.
    pub(crate) concurrency_limit: f64,
    /// Smoothed fraction of attempts that failed.
    pub(crate) failure_fraction: f64,
    /// It gets no attempts until then: ejected as an outlier, or after it rejected a request.
    pub(crate) excluded_until: Micros,
    /// How often the next ejection is doubled.
    pub(crate) ejection_doublings: u32,
    /// It was ejected and has not succeeded since: it gets one attempt at a time.
    pub(crate) on_trial: bool,
    pub(crate) unreachable_since: Option<Micros>,
    /// When it started, while it is in slow start.
    pub(crate) slow_start_since: Option<Micros>,
    /// What it may be sent in slow start, in units.
    pub(crate) slow_start_allowance: TokenBucket,
    pub(crate) reported_load: Option<ReportedLoad>,
}

impl EndpointState {
    /// An endpoint of which nothing is known.
    pub(crate) fn unknown() -> EndpointState {
        EndpointState { concurrency_limit: INITIAL_LIMIT, ..EndpointState::default() }
    }

    /// A process that has just started, at an endpoint that is known: nothing held against the old process
    /// counts, but what discovery, operators and attempts in flight say stays.
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

    /// It takes new work, by the endpoint list and the operators.
    pub(crate) fn is_in_service(&self) -> bool {
        self.status == Some(EndpointStatus::InService) && !self.in_maintenance
    }

    /// It is ejected.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.excluded_until
    }

    /// It is not ejected, nor on trial with an attempt in flight.
    pub(crate) fn is_eligible(&self, now: Micros) -> bool {
        !self.is_ejected(now) && (!self.on_trial || self.in_flight < 1.0)
    }

    /// It is in slow start.
    pub(crate) fn is_in_slow_start(&self) -> bool {
        self.slow_start_since.is_some()
    }

    /// Begins the slow start, with this allowance in units.
    pub(crate) fn begin_slow_start(&mut self, since: Micros, now: Micros, allowance: f64) {
        self.slow_start_since = Some(since);
        self.slow_start_allowance =
            TokenBucket { level: allowance, capacity: 1.0, rate: 0.0, filled_at: now };
    }
}
