//! What a gateway remembers of a request until its final answer and the end of its last attempt.

use super::event::{Arrival, PriorAttempt};
use super::ids::EndpointId;
use super::routing_rules::RouteRule;
use super::settings::{Class, Plan, Settings};
use super::time::Micros;
use std::rc::Rc;

/// An attempt of a request, this gateway's or a prior one's.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Micros,
    pub(crate) in_flight: bool,
    /// It counts against its endpoint's concurrency limit: from the last byte of its body to the first byte of
    /// its response.
    pub(crate) holds_slot: bool,
    pub(crate) may_have_run: bool,
}

impl From<&PriorAttempt> for Attempt {
    /// What others sent and may have run bounds what may be sent here, as this gateway's own attempts do.
    fn from(prior: &PriorAttempt) -> Attempt {
        Attempt { endpoint: prior.endpoint, sent_at: prior.sent_at, may_have_run: true, ..Attempt::default() }
    }
}

/// A request and how far it is.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived_at: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// The quota window whose counter holds this request's units, until the first attempt is sent.
    pub(crate) counted_in_window: Option<u64>,
    /// It counts as one of its customer's attempts in flight.
    pub(crate) holds_concurrency: bool,
    /// Calls to the counter made for it that are still unanswered.
    pub(crate) pending_counter_calls: u32,
    /// Since when it has waited for an endpoint with capacity.
    pub(crate) queued_since: Option<Micros>,
    /// The client receives its response.
    pub(crate) streaming: bool,
    /// It has had its final answer.
    pub(crate) finished: bool,
    /// The routing rule that was in force when it came.
    pub(crate) route: Rc<RouteRule>,
}

impl Request {
    /// An attempt of it is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// It has neither been sent nor queued.
    pub(crate) fn is_new(&self) -> bool {
        self.attempts.is_empty() && self.queued_since.is_none()
    }

    /// Its attempts that have run or may yet.
    pub(crate) fn attempts_that_may_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.in_flight || attempt.may_have_run)
    }

    /// Its class.
    pub(crate) fn class<'a>(&self, settings: &'a Settings) -> &'a Class {
        &settings.classes[self.arrival.class.0]
    }

    /// Its customer's plan.
    pub(crate) fn plan<'a>(&self, settings: &'a Settings) -> &'a Plan {
        &settings.plans[self.arrival.plan.0]
    }

    /// What it is worth relative to others.
    pub(crate) fn priority_weight(&self, settings: &Settings) -> f64 {
        self.class(settings).priority_weight * self.plan(settings).weight_factor
    }
}
